package spartrail.policy;

/**
 * A proposed version of policy and its stage; nodes apply it once it is active.
 *
 * @param number the number of the proposal, in order from 1
 * @param settings the settings that the version changes, as the JSON text of {@link PolicySettings}
 * @param proposer the name of the operator that proposed the version
 * @param reason why the version was refused or aborted; empty for other stages
 * @param token random; a proposal that is sent twice bears the same token both times and is applied once
 */
public record PolicyVersion(long number, String settings, String proposer, Stage stage, String reason, String token) {
    /** The stage of a proposal. The names are part of messages, of the log on disk and of replies to operators. */
    public enum Stage {
        /** Nodes vote on it. */
        PROPOSED,
        /** All nodes can apply it; it becomes active once all leases on the previous version alone have expired. */
        DECIDED,
        /** It is active, or was active until a later version replaced it. */
        HOLDS,
        /** A node cannot apply it, or did not vote in time. */
        REFUSED,
        /** An operator aborted it. */
        ABORTED
    }

    /** The version before the first proposal: it changes nothing, so that each node applies its local settings. */
    public static final PolicyVersion INITIAL = new PolicyVersion(0, "{}", "", Stage.HOLDS, "", "");

    /** This version at another stage, with the reason for it. */
    PolicyVersion withStage(Stage next, String nextReason) {
        return new PolicyVersion(number, settings, proposer, next, nextReason, token);
    }
}
