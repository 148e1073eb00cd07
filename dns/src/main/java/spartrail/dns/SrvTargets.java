package spartrail.dns;

import java.util.List;

/**
 * What a name's records say now.
 *
 * @param isComplete false where addresses of some targets could not be had: then what is missing is not known to be gone
 * @param isStale older than its lifetime, as no name server answers
 * @param isUnavailable nothing can be said: never answered, or stale for longer than allowed
 * @param ttlMs the least lifetime of all records that it was put together from
 */
public record SrvTargets(
        String name, boolean isComplete, boolean isStale, boolean isUnavailable, List<Target> targets, double ttlMs) {
    /** A server: the endpoint as a number address and port. */
    public record Target(String host, String address, int priority, int weight) {}
}
