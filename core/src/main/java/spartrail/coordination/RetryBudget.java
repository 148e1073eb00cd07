package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.SlidingWindowCounter;

/** The stated bound on retries and hedged requests: in each window a minimum, and a ratio of what clients requested. */
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
     * See {@link Coordinator#configureRetryBudget}. Events older than the old window are no longer counted, so after a change to a
     * longer window retries are held back until the new window is fully counted.
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
     * Whether one more retry is within the budget. Whoever checks the budget sees attempts some loop iterations later, so the
     * window is taken longer for retries and shorter for requests.
     */
    boolean mayRetry() {
        int retriesMade = retries.countSince(context.nowMs() - windowMs - context.loopIntervalMs()) + 1;
        int requestsSeen = requests.countSince(context.nowMs() - windowMs + 2 * context.loopIntervalMs());
        return windowMs <= 0
                || context.nowMs() >= allowedFromMs && retriesMade <= minRetries + retryRatio * requestsSeen;
    }
}
