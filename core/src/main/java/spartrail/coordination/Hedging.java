package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Part;

/**
 * Hedged requests: a part whose attempt is overdue joins its queue again for a copy at another replica.
 *
 * <p>Copies feed an overload. They take tokens from a bucket that first attempts fill if they were never queued: where parts are
 * queued there is no capacity to spare, and copies dry up. Copies for attempts at ejected servers, which are few by their limits,
 * take no token.
 */
final class Hedging {
    private static final double MAX_TOKENS = 20;
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.4;
    /** Where no more than this share of the parts is open, each of them decides when the multiget is answered. */
    private static final double STRAGGLER_SHARE = 0.1;

    private final EventContext context;
    private final PartQueues queues;
    private final LatencyEstimator latencies;
    private final RetryPolicy retryPolicy;
    private final ReplicaSelector replicas;
    private double tokens = MAX_TOKENS / 2;

    Hedging(
            EventContext context,
            PartQueues queues,
            LatencyEstimator latencies,
            RetryPolicy retryPolicy,
            ReplicaSelector replicas) {
        this.context = context;
        this.queues = queues;
        this.latencies = latencies;
        this.retryPolicy = retryPolicy;
        this.replicas = replicas;
    }

    void recordFirstAttempt(Part part) {
        if (part.queuedSinceMs == context.nowMs()) {
            tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
        }
    }

    /** Hedges an attempt that is presumed lost, or checks it again later; what joins a queue is then to be released. */
    void onOverdue(Attempt attempt, ReleaseQueue releaseQueue) {
        Part part = attempt.part;
        if (!mayBeHedged(attempt)) {
            return;
        }
        double presumedLostMs = presumedLostMs(attempt);
        boolean isPresumedLost =
                attempt.server.lastAnsweredSentMs > attempt.sentMs || context.nowMs() >= presumedLostMs;
        boolean hasToken = !context.hasJustResumed() && tokens >= 1 && replicas.select(part) != null;
        if (!ServerCrashGuard.isSuspected(part.multiget) && isPresumedLost && (attempt.server.ejected || hasToken)) {
            tokens -= attempt.server.ejected ? 0 : 1;
            queues.enqueue(part);
            releaseQueue.release(List.of(part.shard));
            return;
        }
        double nextTickMs = context.nowMs() + EventContext.TICK_INTERVAL_MS;
        double nextCheckMs = isPresumedLost ? nextTickMs : Math.min(nextTickMs, presumedLostMs);
        context.timers.schedule(nextCheckMs, part.multiget.timers, () -> onOverdue(attempt, releaseQueue));
    }

    private boolean mayBeHedged(Attempt attempt) {
        Part part = attempt.part;
        boolean isLatest = part.attempts.get(part.attempts.size() - 1) == attempt;
        return attempt.isInFlight()
                && !part.multiget.finished
                && part.isOpen()
                && !part.queued
                && isLatest
                && retryPolicy.mayRetry(part);
    }

    /**
     * When an attempt is presumed lost, unless the server answers something sent later before; at once for the last few parts,
     * which decide when all the others are answered and are few to copy.
     */
    private double presumedLostMs(Attempt attempt) {
        Part part = attempt.part;
        boolean isStraggler = part.multiget.openParts <= STRAGGLER_SHARE * part.multiget.parts.size();
        return attempt.sentMs + (isStraggler ? 0 : latencies.overdueAfterMs(part));
    }
}
