package spartrail.model;

/** One attempt to get a part answered by one server. */
public final class Attempt {
    /** How an attempt ended. */
    public enum Outcome {
        ANSWERED(true),
        ERROR(true),
        /** The server rejected the part because it was at its capacity. */
        FULL(false),
        TIMED_OUT(true),
        CONNECT_FAILED(false),
        /** The connection was reset after the part had been sent. */
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        /** The answer, or that to another part on the same connection, could not be decoded. */
        MALFORMED(true);

        /** False if the outcome proves that the part never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    public final Part part;
    public final Server server;
    /** Number of the attempt within its part; 0 for the first one. */
    public final int number;

    public final double sentMs;
    public final double timeoutMs;
    /**
     * The latest time at which its frame may begin. A retry that is sent after its deduplication window would take
     * effect twice.
     */
    public double sendDeadlineMs = Double.POSITIVE_INFINITY;

    public AttemptBatch batch;
    /** Null while the attempt is in flight. */
    public Outcome outcome;

    public boolean cancelRequested;
    /** Whether the server had no other attempt of this node in flight at the start of this one. */
    public boolean serverWasIdle;

    /** An attempt in flight, without a batch yet. */
    public Attempt(Part part, Server server, int number, double sentMs, double timeoutMs) {
        this.part = part;
        this.server = server;
        this.number = number;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    /** Whether the attempt has had no outcome yet. */
    public boolean isInFlight() {
        return outcome == null;
    }

    /** Whether the outcome proves that the part never ran; false while the attempt is in flight. */
    public boolean hasNotRun() {
        return outcome != null && !outcome.mayHaveRun;
    }
}
