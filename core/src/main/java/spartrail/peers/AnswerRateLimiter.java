package spartrail.peers;

/**
 * Two token buckets for what this node sends because others ask it: one for all, and half of that for nodes that it doesn't
 * know. Without them a flood of requests would make this node send without bound, and starve the nodes that it knows.
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

    /** Takes a token, if there is one; else that is counted. */
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
