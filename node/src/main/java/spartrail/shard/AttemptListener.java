package spartrail.shard;

import spartrail.model.Attempt;

/** Is notified of how attempts ended; called on the I/O thread, so it may not wait. */
public interface AttemptListener {
    /**
     * An attempt has ended; called exactly once for each part.
     *
     * @param value what the server answered; null unless the outcome is ANSWERED
     * @param atMs when its end was seen, on the node's clock
     */
    void onAttemptEnded(PartRequest part, Attempt.Outcome outcome, byte[] value, double atMs);
}
