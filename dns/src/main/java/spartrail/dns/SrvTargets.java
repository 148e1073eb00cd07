package spartrail.dns;

import java.util.List;

/**
 * The current targets of an SRV name.
 *
 * @param isComplete false if the addresses of some targets are unknown, so that a missing target is not known to be
 *        gone
 * @param isStale whether the records are older than their TTL because no name server answers
 * @param isUnavailable whether the targets are unknown: there was no answer, or the records are stale for longer than
 *        allowed
 * @param ttlMs the minimum TTL of all records used
 */
public record SrvTargets(
        String name, boolean isComplete, boolean isStale, boolean isUnavailable, List<Target> targets, double ttlMs) {
    /** A server; {@code address} has the form IP address:port. */
    public record Target(String host, String address, int priority, int weight) {}

    /** The result for a name whose targets are unknown. */
    static SrvTargets unavailable(String name) {
        return new SrvTargets(name, false, true, true, List.of(), 0);
    }
}
