package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Part;

/**
 * Sends hedged requests: if the attempt of a part is overdue, the part is queued again for a second attempt at another
 * replica.
 *
 * <p>Hedged requests make an overload worse, so each one takes a token from a bucket. Only first attempts that were not
 * queued add tokens: queued parts show that there is no spare capacity, and the bucket then runs empty. Hedged requests
 * for attempts at ejected servers take no token; the concurrency limits of these servers keep them few.
 */
final class Hedging {
    private static final double MAX_TOKENS = 20;
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.4;
    /** If at most this share of a multiget's parts is open, the time of the answer depends on each of these parts. */
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

    /**
     * If an attempt is presumed lost and may be hedged, queues its part and releases the queue; otherwise schedules
     * another check.
     */
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
     * Returns the time from which an attempt is presumed lost; it is presumed lost earlier if the server answers an
     * attempt that was sent later. For the last few open parts this is the time of sending: the multiget's answer
     * depends on them alone, and few hedged requests are needed.
     */
    private double presumedLostMs(Attempt attempt) {
        Part part = attempt.part;
        boolean isStraggler = part.multiget.openParts <= STRAGGLER_SHARE * part.multiget.parts.size();
        return attempt.sentMs + (isStraggler ? 0 : latencies.overdueAfterMs(part));
    }
}
