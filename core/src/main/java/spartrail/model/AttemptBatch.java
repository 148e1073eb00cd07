package spartrail.model;

/** The attempts that one node sends to one server in one event loop iteration, as one call. */
public final class AttemptBatch {
    public final double sentMs;
    /** Number of attempts in the batch. */
    public int size;
    /** Number of attempts in the batch that have had no outcome yet. */
    public int inFlight;

    /** An empty batch of the event loop iteration at this time. */
    public AttemptBatch(double sentMs) {
        this.sentMs = sentMs;
    }
}
