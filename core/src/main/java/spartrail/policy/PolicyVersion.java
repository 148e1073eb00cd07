package spartrail.policy;

/**
 * A proposal and what came of it; once it is active, the version of policy that nodes go by.
 *
 * @param number in the order of proposals, from 1
 * @param settings what it states, as the JSON text of {@link PolicySettings}
 * @param proposer who proposed it
 * @param reason why it was refused or aborted; else empty
 * @param token random: the same proposal sent twice is one
 */
public record PolicyVersion(long number, String settings, String proposer, Stage stage, String reason, String token) {
    /** How far a proposal has come. The names are part of messages, of the log on disk and of replies to operators. */
    public enum Stage {
        /** Nodes vote on it. */
        PROPOSED,
        /** All nodes can apply it; it will be active once no lease is left on the version before alone. */
        DECIDED,
        /** It is active, or was until the next one. */
        HOLDS,
        /** A node cannot apply it, or did not say so in time. */
        REFUSED,
        /** An operator gave it up. */
        ABORTED
    }

    /** Before anything was proposed each node goes by its local settings. */
    public static final PolicyVersion INITIAL = new PolicyVersion(0, "{}", "", Stage.HOLDS, "", "");

    /** The same one at another stage, for a reason. */
    PolicyVersion withStage(Stage next, String nextReason) {
        return new PolicyVersion(number, settings, proposer, next, nextReason, token);
    }
}
