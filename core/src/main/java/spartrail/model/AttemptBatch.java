package spartrail.model;

/** What one node sends to one server in one turn, as one. */
public final class AttemptBatch {
    public final double sentMs;
    public int parts;
    /** Its parts that have had no outcome yet. */
    public int out;

    public AttemptBatch(double sentMs) {
        this.sentMs = sentMs;
    }
}
