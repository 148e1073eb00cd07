package spartrail.shard;

import spartrail.model.Attempt;

/** Receives the outcomes of attempts. Called on the I/O thread, so it must not block. */
public interface AttemptListener {
    /**
     * Called exactly once for each part request, when its attempt has ended.
     *
     * @param value the value of the server's response; null unless the outcome is ANSWERED
     * @param atMs the time at which the node saw the end, on the node's clock
     */
    void onAttemptEnded(PartRequest part, Attempt.Outcome outcome, byte[] value, double atMs);
}
