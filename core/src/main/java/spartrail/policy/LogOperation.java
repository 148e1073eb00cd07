package spartrail.policy;

/**
 * What an entry of the replicated log does.
 *
 * @param proposalNumber of the proposal meant; 0 where it has none yet
 * @param text the settings that are proposed, or why a proposal is refused
 * @param issuer who proposes, refuses or aborts
 * @param token random: the same proposal sent twice is one
 */
public record LogOperation(Kind kind, long proposalNumber, String text, String issuer, String token) {
    /** The kinds of operations, with their names in messages and in the log on disk. */
    public enum Kind {
        /** Opens a new leader's term, and changes nothing. */
        NEW_TERM("LED"),
        /** Proposes a version. */
        PROPOSE("PROPOSE"),
        /** Refuses a proposal that a node cannot apply. */
        REFUSE("REFUSE"),
        /** Gives a proposal up. */
        ABORT("ABORT"),
        /** Decides a proposal that all nodes can apply. */
        DECIDE("DECIDE"),
        /** Makes a decided proposal the active version. */
        HOLD("HOLD");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The name in messages and in the log on disk. */
        public String wireName() {
            return wireName;
        }
    }

    /** What a new leader appends first. */
    public static final LogOperation NEW_TERM_OPERATION = new LogOperation(Kind.NEW_TERM, 0, "", "", "");

    /** A leader's operation on a proposal. */
    static LogOperation ofLeader(Kind kind, long proposalNumber) {
        return new LogOperation(kind, proposalNumber, "", "", "");
    }
}
