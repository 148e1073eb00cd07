package spartrail.model;

/** One try of a part at one server. */
public final class Attempt {
    /** How a send ended. */
    public enum Outcome {
        ANSWERED(true),
        ERROR(true),
        FULL(false),
        TIMED_OUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        /** Its answer, or that of another part on the same connection, could not be read. */
        MALFORMED(true);

        /** False where the outcome proves that the part never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    public final Part part;
    public final Server server;
    public final int number;
    public final double sentMs;
    public final double timeoutMs;
    /** Its frame may begin until then: a repeat that leaves after its op type's window would take effect twice. */
    public double sendDeadlineMs = Double.POSITIVE_INFINITY;

    public AttemptBatch batch;
    public Outcome outcome;
    public boolean cancelRequested;
    /** The server had nothing else of this node's out. */
    public boolean serverWasIdle;

    public Attempt(Part part, Server server, int number, double sentMs, double timeoutMs) {
        this.part = part;
        this.server = server;
        this.number = number;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    public boolean isInFlight() {
        return outcome == null;
    }

    /** Known not to have run. */
    public boolean hasNotRun() {
        return outcome != null && !outcome.mayHaveRun;
    }
}
