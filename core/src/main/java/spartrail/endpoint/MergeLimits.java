package spartrail.endpoint;

/**
 * The figures of the view; times in milliseconds.
 *
 * @param floor no single answer takes the live servers of a shard below this
 * @param freezeMs words of a source that is out stay good for so long
 * @param suspectMs after so much longer its servers go, where the floor allows
 * @param rollConfirmMs a whole roll that leaves out more than the floor allows is taken at its word after so long; below
 *        the grace in which sends to a server that is gone must end
 * @param confirmMs the same for other sources, or after {@code confirmAnswers} whole answers, whichever comes first
 * @param flapMs a server that comes back after it was gone waits so long, twice as long each further time
 * @param flapMostMs but no longer than this
 * @param flapForgetMs half of what is held against it is forgotten in so long
 * @param keptMs a server that is gone is remembered for so long
 * @param mostMembers no more are known; further ones are refused and counted
 */
public record MergeLimits(
        int floor,
        double freezeMs,
        double suspectMs,
        double rollConfirmMs,
        double confirmMs,
        int confirmAnswers,
        double flapMs,
        double flapMostMs,
        double flapForgetMs,
        double keptMs,
        int mostMembers) {
    public static final MergeLimits USUAL =
            new MergeLimits(1, 300_000, 300_000, 400, 30_000, 3, 2000, 60_000, 60_000, 600_000, 10_000);
}
