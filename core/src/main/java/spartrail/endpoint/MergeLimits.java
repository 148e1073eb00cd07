package spartrail.endpoint;

/**
 * The limits of the merge; times in milliseconds.
 *
 * @param floor no single answer takes the endpoints in use of a shard below this
 * @param freezeMs reports of a source that is unavailable stay valid for so long
 * @param suspectMs after so much longer its endpoints go, where the floor allows
 * @param discoveryConfirmMs a complete list of discovery that leaves out more than the floor allows is believed after so long;
 *        below the grace in which requests to an endpoint that is gone must end
 * @param confirmMs the same for other sources, or after {@code confirmAnswers} complete answers, whichever comes first
 * @param flapDelayMs an endpoint that comes back after it was gone waits so long, twice as long each further time
 * @param maxFlapDelayMs but no longer than this
 * @param flapHalfLifeMs half of the removals that are held against it are forgotten in so long
 * @param retentionMs an endpoint that is gone is remembered for so long
 * @param maxEndpoints no more are known; further ones are refused and counted
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
    /** What holds where the sources file says nothing. */
    public static final MergeLimits DEFAULT =
            new MergeLimits(1, 300_000, 300_000, 400, 30_000, 3, 2000, 60_000, 60_000, 600_000, 10_000);
}
