package spartrail.model;

/** One attempt of a part at one server. */
public final class Attempt {
    /** How an attempt ended. */
    public enum Outcome {
        ANSWERED(true),
        ERROR(true),
        /** The server rejected it at its capacity. */
        FULL(false),
        TIMED_OUT(true),
        CONNECT_FAILED(false),
        /** The connection was reset after the part had been sent. */
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        /** Its answer, or that of another part on the same connection, could not be decoded. */
        MALFORMED(true);

        /** False where the outcome proves that the part never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    public final Part part;
    public final Server server;
    /** 0 for the part's first attempt. */
    public final int number;

    public final double sentMs;
    public final double timeoutMs;
    /** Its frame may begin until then: a retry that is sent after its deduplication window would take effect twice. */
    public double sendDeadlineMs = Double.POSITIVE_INFINITY;

    public AttemptBatch batch;
    /** Null while it is in flight. */
    public Outcome outcome;

    public boolean cancelRequested;
    /** Whether the server had nothing else of this node in flight. */
    public boolean serverWasIdle;

    /** Starts an attempt. */
    public Attempt(Part part, Server server, int number, double sentMs, double timeoutMs) {
        this.part = part;
        this.server = server;
        this.number = number;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    /** Whether it has had no outcome yet. */
    public boolean isInFlight() {
        return outcome == null;
    }

    /** Whether its outcome proves that the part never ran. */
    public boolean hasNotRun() {
        return outcome != null && !outcome.mayHaveRun;
    }
}
