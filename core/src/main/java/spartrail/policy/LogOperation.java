package spartrail.policy;

/**
 * The operation of an entry of the replicated log.
 *
 * @param proposalNumber the number of the proposal that the operation applies to; 0 if it has no number yet
 * @param text the proposed settings, or the reason for a refusal
 * @param issuer the name of the operator or node that proposes, refuses or aborts
 * @param token random; a proposal that is sent twice bears the same token both times and is applied once
 */
public record LogOperation(Kind kind, long proposalNumber, String text, String issuer, String token) {
    /** The kinds of operations, each with its name in messages and in the log on disk. */
    public enum Kind {
        /** The first entry of a new leader's term; changes no state. */
        NEW_TERM("LED"),
        /** Proposes a version. */
        PROPOSE("PROPOSE"),
        /** Refuses a proposal that a node cannot apply, or has not voted on in time. */
        REFUSE("REFUSE"),
        /** Aborts a proposal. */
        ABORT("ABORT"),
        /** Marks a proposal that all nodes can apply as decided. */
        DECIDE("DECIDE"),
        /** Makes a decided proposal the active version. */
        HOLD("HOLD");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The name of this kind in messages and in the log on disk. */
        public String wireName() {
            return wireName;
        }
    }

    /** The operation that a new leader appends first in its term. */
    public static final LogOperation NEW_TERM_OPERATION = new LogOperation(Kind.NEW_TERM, 0, "", "", "");

    /** An operation of the leader on a proposal: it needs no text, issuer or token. */
    static LogOperation leaderOperation(Kind kind, long proposalNumber) {
        return new LogOperation(kind, proposalNumber, "", "", "");
    }
}
