package spartrail.dns;

/**
 * The figures of the resolver; times in milliseconds.
 *
 * @param leastMs nothing is asked again sooner, whatever its TTL
 * @param mostMs nothing is held for longer, whatever its TTL (RFC 8767, section 4 names seven days)
 * @param negativeMostMs the most for an answer that there is nothing (RFC 2308, section 5)
 * @param failedMs an answer that is a failure is not asked for again sooner (RFC 2308, section 7: five minutes at the most)
 * @param failedMostMs this grows, doubling, to so much
 * @param staleMs how long after its end a record may be used when nobody answers (RFC 8767, section 5: one to three days)
 * @param timeOutMs the first wait for an answer; it doubles with each try, to four times
 * @param tries questions for one answer, over all name servers
 * @param mostAsking questions out at a time
 * @param mostTargets targets of one name; more are left out and counted
 */
public record ResolverSettings(
        double leastMs,
        double mostMs,
        double negativeMostMs,
        double failedMs,
        double failedMostMs,
        double staleMs,
        double timeOutMs,
        int tries,
        int mostAsking,
        int mostTargets) {
    public static final ResolverSettings USUAL =
            new ResolverSettings(1000, 86_400_000, 300_000, 1000, 30_000, 3_600_000, 500, 4, 64, 512);
}
