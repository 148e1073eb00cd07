package spartrail.dns;

/**
 * The settings of the resolver; times in milliseconds.
 *
 * @param minTtlMs nothing is asked again sooner, whatever its TTL
 * @param maxTtlMs nothing is cached for longer, whatever its TTL (RFC 8767, section 4 names seven days)
 * @param maxNegativeTtlMs the most for an answer that there is nothing (RFC 2308, section 5)
 * @param failureBackoffMs after a failure nothing is asked again sooner (RFC 2308, section 7: five minutes at the most)
 * @param maxFailureBackoffMs the backoff grows, doubling, to so much
 * @param maxStaleMs how long after its end a record may be used when nobody answers (RFC 8767, section 5: one to three days)
 * @param timeoutMs the first wait for a response; it doubles with each attempt, to four times
 * @param attempts queries for one answer, over all name servers
 * @param maxInFlight queries in flight at a time
 * @param maxTargets targets of one name; more are left out and counted
 */
public record ResolverSettings(
        double minTtlMs,
        double maxTtlMs,
        double maxNegativeTtlMs,
        double failureBackoffMs,
        double maxFailureBackoffMs,
        double maxStaleMs,
        double timeoutMs,
        int attempts,
        int maxInFlight,
        int maxTargets) {
    /** The settings of a front node. */
    public static final ResolverSettings DEFAULT =
            new ResolverSettings(1000, 86_400_000, 300_000, 1000, 30_000, 3_600_000, 500, 4, 64, 512);
}
