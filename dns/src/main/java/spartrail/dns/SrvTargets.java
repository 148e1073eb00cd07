package spartrail.dns;

import java.util.List;

/**
 * What the records of an SRV name say now.
 *
 * @param isComplete false where addresses of some targets could not be had: then what is missing is not known to be gone
 * @param isStale older than its TTL, as no name server answers
 * @param isUnavailable nothing can be said: never answered, or stale for longer than allowed
 * @param ttlMs the least TTL of all records that it was put together from
 */
public record SrvTargets(
        String name, boolean isComplete, boolean isStale, boolean isUnavailable, List<Target> targets, double ttlMs) {
    /** A server; {@code address} is an IP address and a port. */
    public record Target(String host, String address, int priority, int weight) {}

    /** The targets of a name of which nothing can be said. */
    static SrvTargets unavailable(String name) {
        return new SrvTargets(name, false, true, true, List.of(), 0);
    }
}
