package spartrail.endpoint;

/**
 * Limits for merging the reports of sources; times are in milliseconds.
 *
 * @param floor the number of endpoints in use per shard below which no single answer takes a shard
 * @param freezeMs how long the reports of an unavailable source stay valid
 * @param suspectMs how much longer the endpoints of an unavailable source stay in use as suspect, before they are
 *        removed if the floor allows it
 * @param discoveryConfirmMs how long after an absence from a complete list of discovery the endpoint is removed even if
 *        that takes a shard below the floor; shorter than the grace in which requests to a removed endpoint must end
 * @param confirmMs the same time for the other sources
 * @param confirmAnswers the number of complete answers of another source that confirm an absence even before {@code
 *        confirmMs}
 * @param flapDelayMs how long an endpoint that returns after a removal waits before it is used; doubles with each
 *        recent removal
 * @param maxFlapDelayMs the upper limit of that delay
 * @param flapHalfLifeMs the half-life of the count of recent removals
 * @param retentionMs how long the record of an endpoint that is gone is kept
 * @param maxEndpoints the maximum number of endpoints; further ones are refused and counted
 */
public record MergeLimits(
        int floor,
        double freezeMs,
        double suspectMs,
        double discoveryConfirmMs,
        double confirmMs,
        int confirmAnswers,
        double flapDelayMs,
        double maxFlapDelayMs,
        double flapHalfLifeMs,
        double retentionMs,
        int maxEndpoints) {
    /** The defaults for limits that the sources file does not set. */
    public static final MergeLimits DEFAULT =
            new MergeLimits(1, 300_000, 300_000, 400, 30_000, 3, 2000, 60_000, 60_000, 600_000, 10_000);
}
