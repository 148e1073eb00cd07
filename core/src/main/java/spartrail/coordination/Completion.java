package spartrail.coordination;

import java.util.function.Predicate;
import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;

/** When a multiget is answered, completely or in part, rejected or failed. Each multiget gets one final answer. */
final class Completion {
    /** A sum of weights may fall short by rounding. */
    private static final double WEIGHT_TOLERANCE = 1e-4 / 2;
    /** So many loop iterations before the objective's deadline a partial answer still leaves in time. */
    private static final int OBJECTIVE_MARGIN_ITERATIONS = 3;
    /** So many loop iterations before the client's deadline the final answer still leaves in time. */
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

    /** Takes the answer of an open part. */
    void recordAnswer(Part part) {
        removeFromOpenParts(part);
        part.answered = true;
        part.multiget.answeredWeight += part.weight;
        part.multiget.connectionsResetBy.clear();
        queues.dequeue(part);
        cancelAttempts(part);
        answerIfPossible(part.multiget);
    }

    /** No more answer of this part can come; its multiget may still be answered without it. */
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
            // What can still come is not enough.
            giveUp(multiget);
        }
    }

    /** The least weight that an answer may be given from. */
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

    /** Ends a multiget: nothing of it is sent any more, and what is in flight is cancelled where that is allowed. */
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

    /** Answers a multiget that is given up: rejected only where a retry by its client is harmless, else failed. */
    void giveUp(Multiget multiget) {
        double retryAfterMs = admission.retryAfterMs(multiget);
        boolean mayRetry = clientMayRetry(multiget, retryAfterMs);
        multiget.answer = mayRetry ? Multiget.Answer.REJECTED : Multiget.Answer.FAILED;
        multiget.retryAfterMs = mayRetry ? retryAfterMs : 0;
        context.decisions().answers.add(multiget);
        finish(multiget);
    }

    /** One with an idempotency key that may have run is rejected where its client returns within the deduplication window. */
    private boolean clientMayRetry(Multiget multiget, double retryAfterMs) {
        OpType op = multiget.opType;
        if (op.idempotency == OpType.Idempotency.IDEMPOTENT) {
            return true;
        }
        boolean deduplicated = op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY && admission.isRetryAfterAllowed();
        Predicate<Attempt> isHarmless = attempt -> attempt.hasNotRun()
                || deduplicated && context.nowMs() + 2 * retryAfterMs < attempt.sentMs + op.deduplicationWindowMs;
        return multiget.parts.stream().flatMap(part -> part.attempts.stream()).allMatch(isHarmless);
    }

    /** At the latency objective an answer that may be given is given, and what would earn nothing later is given up. */
    private void onLatencyObjective(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        if (context.isResuming()) {
            // Answers that came while the process was paused are read first.
            double retryMs = context.nowMs() + context.loopIntervalMs();
            context.timers.schedule(retryMs, multiget.timers, () -> onLatencyObjective(multiget));
            return;
        }
        OpType op = multiget.opType;
        if (hasWeight(multiget, minimumWeight(multiget))
                && op.partialShare * multiget.answeredWeight / op.completeWeight > op.lateShare) {
            giveAnswer(multiget, Multiget.Answer.PARTIAL);
        } else if (op.lateShare == 0 || op.lateShare < unsentWeight(multiget)) {
            // Late work goes first by its key and makes all behind it late too, so what is left of it may take no more
            // than the
            // share that a late answer earns.
            giveUp(multiget);
        }
    }

    private static double unsentWeight(Multiget multiget) {
        return multiget.parts.stream()
                .mapToDouble(part -> part.isOpen() && !part.hasAttemptInFlight() ? part.weight : 0)
                .sum();
    }

    /** At the client's deadline the final answer is given whatever is still open. */
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
