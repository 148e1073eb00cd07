package spartrail.coordination;

import java.util.function.Predicate;
import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;

/**
 * Decides when a multiget is answered, completely or in part, rejected or failed. Each multiget gets one final answer.
 */
final class Completion {
    /** Rounding may make a sum of weights too small by this much. */
    private static final double WEIGHT_TOLERANCE = 1e-4 / 2;
    /**
     * A partial answer is decided this many event loop iterations before the objective's deadline, so that it is sent
     * in time.
     */
    private static final int OBJECTIVE_MARGIN_ITERATIONS = 3;
    /**
     * The final answer is decided this many event loop iterations before the client's deadline, so that it is sent in
     * time.
     */
    private static final int CLIENT_MARGIN_ITERATIONS = 2;

    private final EventContext context;
    private final PartQueues queues;
    private final AdmissionControl admission;
    private boolean cancellationAllowed;

    Completion(EventContext context, PartQueues queues, AdmissionControl admission) {
        this.context = context;
        this.queues = queues;
        this.admission = admission;
    }

    void allowCancellation(boolean allowed) {
        cancellationAllowed = allowed;
    }

    /** Starts the timers of an admitted multiget. */
    void scheduleDeadlines(Multiget multiget) {
        context.timers.schedule(objectiveTimerMs(multiget), multiget.timers, () -> onLatencyObjective(multiget));
        double clientTimerMs = multiget.clientDeadlineMs - CLIENT_MARGIN_ITERATIONS * context.loopIntervalMs();
        context.timers.schedule(clientTimerMs, multiget.timers, () -> onClientDeadline(multiget));
    }

    private double objectiveTimerMs(Multiget multiget) {
        return multiget.objectiveDeadlineMs - OBJECTIVE_MARGIN_ITERATIONS * context.loopIntervalMs();
    }

    /** Records that an open part was answered, and answers its multiget if that is possible now. */
    void recordAnswer(Part part) {
        removeFromOpenParts(part);
        part.answered = true;
        part.multiget.answeredWeight += part.weight;
        part.multiget.connectionsResetBy.clear();
        queues.dequeue(part);
        cancelAttempts(part);
        answerIfPossible(part.multiget);
    }

    /** Gives up a part that can no longer be answered; its multiget may still be answered without it. */
    void failPart(Part part) {
        abandon(part);
        answerIfPossible(part.multiget);
    }

    private void abandon(Part part) {
        queues.dequeue(part);
        removeFromOpenParts(part);
        part.abandoned |= !part.answered;
    }

    private static void removeFromOpenParts(Part part) {
        if (part.isOpen()) {
            part.multiget.openParts--;
            part.multiget.openWeight -= part.weight;
        }
    }

    private void answerIfPossible(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        boolean hasOpenParts = multiget.openParts > 0;
        double minimumWeight = minimumWeight(multiget);
        if (hasWeight(multiget, multiget.opType.completeWeight)) {
            giveAnswer(multiget, Multiget.Answer.COMPLETE);
        } else if (hasWeight(multiget, minimumWeight)
                && (!hasOpenParts || context.nowMs() >= objectiveTimerMs(multiget))) {
            giveAnswer(multiget, Multiget.Answer.PARTIAL);
        } else if (multiget.answeredWeight + multiget.openWeight < minimumWeight - WEIGHT_TOLERANCE) {
            // Even if all open parts were answered, the weight would be too low.
            giveUp(multiget);
        }
    }

    /** Returns the least answered weight with which a multiget may be answered. */
    private static double minimumWeight(Multiget multiget) {
        return Math.min(multiget.opType.minimumWeight, multiget.opType.completeWeight);
    }

    private static boolean hasWeight(Multiget multiget, double weight) {
        return multiget.answeredWeight >= weight - WEIGHT_TOLERANCE;
    }

    private void giveAnswer(Multiget multiget, Multiget.Answer answer) {
        multiget.answer = answer;
        context.decisions().answers.add(multiget);
        finish(multiget);
    }

    /**
     * Ends a multiget: no more parts of it are sent, and its attempts in flight are cancelled if cancellation is
     * allowed.
     */
    void finish(Multiget multiget) {
        multiget.finished = true;
        for (Part part : multiget.parts) {
            abandon(part);
            cancelAttempts(part);
        }
        context.timers.cancelAll(multiget.timers);
    }

    private void cancelAttempts(Part part) {
        for (Attempt attempt : part.attempts) {
            if (cancellationAllowed && attempt.isInFlight() && !attempt.cancelRequested) {
                attempt.cancelRequested = true;
                context.decisions().cancellations.add(attempt);
            }
        }
    }

    /** Gives up a multiget: it is rejected if a retry by its client is harmless, otherwise it fails. */
    void giveUp(Multiget multiget) {
        double retryAfterMs = admission.retryAfterMs(multiget);
        boolean mayRetry = mayClientRetry(multiget, retryAfterMs);
        multiget.answer = mayRetry ? Multiget.Answer.REJECTED : Multiget.Answer.FAILED;
        multiget.retryAfterMs = mayRetry ? retryAfterMs : 0;
        context.decisions().answers.add(multiget);
        finish(multiget);
    }

    /**
     * Whether a retry by the client is harmless. If a multiget with an idempotency key may have run, the client must
     * retry within the deduplication window.
     */
    private boolean mayClientRetry(Multiget multiget, double retryAfterMs) {
        OpType op = multiget.opType;
        if (op.idempotency == OpType.Idempotency.IDEMPOTENT) {
            return true;
        }
        boolean deduplicated = op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY && admission.isRetryAfterAllowed();
        Predicate<Attempt> isHarmless = attempt -> attempt.hasNotRun()
                || deduplicated && context.nowMs() + 2 * retryAfterMs < attempt.sentMs + op.deduplicationWindowMs;
        return multiget.parts.stream().flatMap(part -> part.attempts.stream()).allMatch(isHarmless);
    }

    /**
     * Handles a missed latency objective: gives a partial answer if it is allowed and worth more than a late one, and
     * gives up a multiget whose late answer is not worth the remaining work.
     */
    private void onLatencyObjective(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        if (context.isResuming()) {
            // Answers that arrived during the pause are handled first.
            double retryMs = context.nowMs() + context.loopIntervalMs();
            context.timers.schedule(retryMs, multiget.timers, () -> onLatencyObjective(multiget));
            return;
        }
        OpType op = multiget.opType;
        if (hasWeight(multiget, minimumWeight(multiget))
                && op.partialShare * multiget.answeredWeight / op.completeWeight > op.lateShare) {
            giveAnswer(multiget, Multiget.Answer.PARTIAL);
        } else if (op.lateShare == 0 || op.lateShare < unsentWeight(multiget)) {
            // Late parts come first in release order and delay all parts behind them. A late multiget is therefore
            // given up if its unsent weight is more than the share of its value that a late answer has.
            giveUp(multiget);
        }
    }

    private static double unsentWeight(Multiget multiget) {
        return multiget.parts.stream()
                .mapToDouble(part -> part.isOpen() && !part.hasAttemptInFlight() ? part.weight : 0)
                .sum();
    }

    /** Gives the final answer at the client's deadline, even if parts are still open. */
    private void onClientDeadline(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        if (hasWeight(multiget, minimumWeight(multiget))) {
            giveAnswer(multiget, Multiget.Answer.PARTIAL);
        } else {
            giveUp(multiget);
        }
    }
}
