package spartrail.dns;

import java.util.List;

/**
 * What a name's records say now.
 *
 * @param whole false where addresses of some targets could not be had: then what is missing is not known to be gone
 * @param stale older than its lifetime, as no name server answers
 * @param out nothing can be said: never answered, or stale for longer than allowed
 * @param lifetimeMs the least lifetime of all records that it was put together from
 */
public record SrvTargets(
        String name, boolean whole, boolean stale, boolean out, List<Target> targets, double lifetimeMs) {
    /** A server: the endpoint as a number address and port. */
    public record Target(String host, String endpoint, int priority, int weight) {}
}
