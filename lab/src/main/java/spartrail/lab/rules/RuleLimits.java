package spartrail.lab.rules;

import java.util.Map;

/**
 * The figures by which the rules are checked.
 *
 * @param graceMs sends to a server must have ended so long after its drain or end was told
 * @param slackMs an answer so much later than the client's time still counts as in it; every limit is longer by it
 * @param mostSends of one part
 * @param parallel whether a part may have two sends out at a time
 * @param furtherRatio further sends allowed for each multiget taken, and {@code furtherLeast} however few there are,
 *        both within {@code furtherWindowMs}; infinite without a budget
 */
public record RuleLimits(
        Map<String, Op> opTypes,
        double graceMs,
        double slackMs,
        int mostSends,
        boolean parallel,
        double furtherRatio,
        double furtherLeast,
        double furtherWindowMs) {
    /** What a repeat of a part does. */
    public enum Repeat {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /**
     * @param dedupMs servers discard repeats for so long
     * @param need share of the weight that makes a whole answer
     * @param floor least share of an answer
     */
    public record Op(Repeat repeat, double dedupMs, double need, double floor) {}
}
