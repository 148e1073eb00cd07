package spartrail.lab.rules;

import java.util.Map;

/**
 * The limits against which the rules are checked.
 *
 * @param graceMs no part may be sent to a server later than this after its drain or end was reported
 * @param slackMs a response this much later than the client's timeout still counts as in time; added to every time
 *     limit
 * @param mostSends the maximum number of sends of one part
 * @param parallel whether two sends of a part may be in flight at the same time
 * @param retryRatio the retries and hedged requests allowed per accepted multiget within {@code retryWindowMs};
 *     infinite without a budget
 * @param minRetries the retries and hedged requests that are always allowed within {@code retryWindowMs}
 */
public record RuleLimits(
        Map<String, Op> opTypes,
        double graceMs,
        double slackMs,
        int mostSends,
        boolean parallel,
        double retryRatio,
        double minRetries,
        double retryWindowMs) {
    /** How servers treat a part that is sent again. */
    public enum Repeat {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /**
     * The limits of one op type.
     *
     * @param dedupMs how long servers discard repeats of a part
     * @param need the share of the weight at which a response is complete
     * @param floor the least share of the weight in a successful response
     */
    public record Op(Repeat repeat, double dedupMs, double need, double floor) {}
}
