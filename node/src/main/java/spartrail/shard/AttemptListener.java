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

    /**
     * Called exactly once for each attempt that ended as TIMED_OUT or CANCELLED, when its server can no longer answer it:
     * the late response has arrived, or the connection is closed. Until then that response could not be told from one to
     * another part with the same id. All other outcomes imply this.
     */
    void onLateResponseRuledOut(String partId);
}
