package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.SlidingWindowCounter;

/**
 * Limits retries and hedged requests: in each window, to a minimum plus a ratio of the multigets and parts that clients
 * requested.
 */
final class RetryBudget {
    private final EventContext context;
    private final SlidingWindowCounter retries = new SlidingWindowCounter();
    private final SlidingWindowCounter requests = new SlidingWindowCounter();
    private double windowMs;
    private double allowedFromMs;
    private double minRetries;
    private double retryRatio;
    private boolean inUse;

    RetryBudget(EventContext context) {
        this.context = context;
    }

    /**
     * See {@link Coordinator#configureRetryBudget}. Events older than the old window are discarded already, so after a
     * change to a longer window no retry is allowed until the longer window is completely recorded.
     */
    void configure(double newWindowMs, double minimum, double ratio) {
        if (inUse && newWindowMs > windowMs) {
            allowedFromMs = context.nowMs() + newWindowMs - windowMs;
        }
        windowMs = newWindowMs;
        minRetries = minimum;
        retryRatio = ratio;
    }

    void recordRequest(Multiget multiget) {
        requests.discardBefore(context.nowMs() - windowMs);
        requests.add(context.nowMs(), multiget.parts.size() + 1);
    }

    void recordAttempt(boolean isRetry) {
        inUse = true;
        if (isRetry) {
            retries.add(context.nowMs(), 1);
        }
    }

    /**
     * Whether one more retry is within the budget. An external check of the budget sees attempts some event loop
     * iterations later, so retries are counted over a longer window and requests over a shorter one.
     */
    boolean mayRetry() {
        int retriesMade = retries.countSince(context.nowMs() - windowMs - context.loopIntervalMs()) + 1;
        int requestsSeen = requests.countSince(context.nowMs() - windowMs + 2 * context.loopIntervalMs());
        return windowMs <= 0
                || context.nowMs() >= allowedFromMs && retriesMade <= minRetries + retryRatio * requestsSeen;
    }
}
