package spartrail.model;

/** The attempts that one node sends to one server in one event loop iteration, as one call. */
public final class AttemptBatch {
    public final double sentMs;
    /** Attempts that have joined it. */
    public int size;
    /** Its attempts that have had no outcome yet. */
    public int inFlight;

    /** An empty batch of this event loop iteration. */
    public AttemptBatch(double sentMs) {
        this.sentMs = sentMs;
    }
}
