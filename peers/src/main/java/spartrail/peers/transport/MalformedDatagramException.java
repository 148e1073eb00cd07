package spartrail.peers.transport;

/** Thrown for a malformed datagram. It has no stack trace, to limit the cost of a flood of such datagrams. */
public final class MalformedDatagramException extends Exception {
    private static final long serialVersionUID = 1;

    /** Kinds of malformed datagrams. The labels are counter names in replies to operators and never change. */
    public enum Problem {
        TOO_LARGE("frames too large"),
        UNREADABLE("unreadable frames"),
        OTHER_FLEET("frames of another fleet"),
        UNKNOWN_KIND("unknown kinds");

        private final String label;

        Problem(String label) {
            this.label = label;
        }

        /** Name of the counter of such datagrams. */
        public String label() {
            return label;
        }
    }

    private final Problem problem;

    MalformedDatagramException(Problem problem) {
        super(problem.label(), null, false, false);
        this.problem = problem;
    }

    /** The kind of malformation. */
    public Problem problem() {
        return problem;
    }
}
