package spartrail.dns;

/**
 * The settings of the resolver; times in milliseconds.
 *
 * @param minTtlMs the minimum time for which a record is cached, whatever its TTL
 * @param maxTtlMs the maximum time for which a record is cached, whatever its TTL (RFC 8767, section 4 recommends seven
 *        days)
 * @param maxNegativeTtlMs the maximum time for which a negative answer is cached (RFC 2308, section 5)
 * @param failureBackoffMs the backoff after a first failure, before jitter (RFC 2308, section 7: at most five minutes)
 * @param maxFailureBackoffMs the maximum of the backoff, which doubles with each failure in a row
 * @param maxStaleMs how long after its expiry a record may be used while no server answers (RFC 8767, section 5: one to
 *        three days)
 * @param timeoutMs the timeout of the first attempt; it doubles with each attempt up to four times this value
 * @param attempts the maximum number of queries for one answer, over all name servers
 * @param maxInFlight the maximum number of queries in flight
 * @param maxTargets the maximum number of targets of one name; further ones are dropped, which is counted
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
    /** The settings used by a front node. */
    public static final ResolverSettings DEFAULT =
            new ResolverSettings(1000, 86_400_000, 300_000, 1000, 30_000, 3_600_000, 500, 4, 64, 512);
}
