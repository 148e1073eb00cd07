package spartrail.peers.transport;

/** A datagram that can't be used. No stack trace is made, as anybody may send as many as they like. */
public final class MalformedDatagramException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong. The labels stand among the counters in replies to operators and never change. */
    public enum Problem {
        TOO_LARGE("frames too large"),
        UNREADABLE("unreadable frames"),
        OTHER_FLEET("frames of another fleet"),
        UNKNOWN_KIND("unknown kinds");

        private final String label;

        Problem(String label) {
            this.label = label;
        }

        /** The name of the counter of such datagrams. */
        public String label() {
            return label;
        }
    }

    private final Problem problem;

    MalformedDatagramException(Problem problem) {
        super(problem.label(), null, false, false);
        this.problem = problem;
    }

    /** What is wrong with the datagram. */
    public Problem problem() {
        return problem;
    }
}
