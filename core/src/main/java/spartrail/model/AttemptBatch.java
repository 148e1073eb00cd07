package spartrail.model;

/** What one node sends to one server in one turn, as one. */
public final class AttemptBatch {
    public final double sentMs;
    public int size;
    /** Its parts that have had no outcome yet. */
    public int inFlight;

    public AttemptBatch(double sentMs) {
        this.sentMs = sentMs;
    }
}
