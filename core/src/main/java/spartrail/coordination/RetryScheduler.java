package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.Part;

/** Puts parts back into their queues when an attempt has failed, and the parts that waited for a first answer. */
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

    /** A part without an attempt in flight goes back to its place in the queue, or is lost to its multiget. */
    void retryOrFail(Part part) {
        if (retryPolicy.mayRetry(part)) {
            queues.enqueue(part);
        } else {
            completion.failPart(part);
        }
    }

    /** Sends the parts that waited for the first answer, unless a connection was reset. */
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
