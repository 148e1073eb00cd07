package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.Part;

/** Queues parts again after a failed attempt, and queues the parts that were held back until the first answer. */
final class RetryScheduler {
    private final PartQueues queues;
    private final RetryPolicy retryPolicy;
    private final Completion completion;
    private final ReleaseQueue releaseQueue;

    RetryScheduler(PartQueues queues, RetryPolicy retryPolicy, Completion completion, ReleaseQueue releaseQueue) {
        this.queues = queues;
        this.retryPolicy = retryPolicy;
        this.completion = completion;
        this.releaseQueue = releaseQueue;
    }

    /** Queues a part without an attempt in flight again if it may be retried; otherwise gives the part up. */
    void retryOrFail(Part part) {
        if (retryPolicy.mayRetry(part)) {
            queues.enqueue(part);
        } else {
            completion.failPart(part);
        }
    }

    /**
     * Queues the parts that were held back until the first answer, unless a server has reset a connection of the
     * multiget.
     */
    void sendRemainingParts(Multiget multiget) {
        if (multiget.finished || !multiget.awaitingFirstAnswer || !multiget.connectionsResetBy.isEmpty()) {
            return;
        }
        multiget.awaitingFirstAnswer = false;
        for (Part part : multiget.parts) {
            boolean isIdle = !multiget.finished && part.isOpen() && !part.queued && !part.hasAttemptInFlight();
            if (isIdle && part.attempts.isEmpty()) {
                queues.enqueue(part);
            } else if (isIdle) {
                retryOrFail(part);
            }
        }
        releaseQueue.releaseShardsOf(multiget);
    }
}
