package spartrail.peers;

/**
 * Limits the messages that this node sends on the request of other nodes, by two token buckets: one for all requests,
 * and one of half that rate for requests from unknown nodes. Without the limits a flood of requests would make this
 * node send without bound and delay its answers to known nodes.
 */
final class AnswerRateLimiter {
    private final MembershipContext context;
    private final double maxTokens;
    private final double maxUnknownTokens;
    private double tokens;
    private double unknownTokens;
    private double refilledMs;

    AnswerRateLimiter(MembershipContext context) {
        this.context = context;
        this.maxTokens = context.timings().maxAnswersPerSecond();
        this.maxUnknownTokens = maxTokens / 2;
        this.tokens = maxTokens;
        this.unknownTokens = maxUnknownTokens;
        this.refilledMs = context.nowMs();
    }

    /** Takes a token; returns false and counts the rejected answer if no token is left. */
    boolean tryAcquire(boolean requesterKnown) {
        refill();
        if (tokens < 1 || !requesterKnown && unknownTokens < 1) {
            context.increment(MembershipCounter.ANSWERS_REJECTED);
            return false;
        }
        tokens--;
        if (!requesterKnown) {
            unknownTokens--;
        }
        return true;
    }

    private void refill() {
        double elapsedMs = context.nowMs() - refilledMs;
        tokens = Math.min(maxTokens, tokens + elapsedMs / 1000 * maxTokens);
        unknownTokens = Math.min(maxUnknownTokens, unknownTokens + elapsedMs / 2000 * maxTokens);
        refilledMs = context.nowMs();
    }
}
