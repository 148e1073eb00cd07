package spartrail.policy;

import java.util.ArrayList;
import java.util.List;
import spartrail.policy.LogOperation.Kind;
import spartrail.policy.PolicyVersion.Stage;

/**
 * The replicated state machine: each voter applies the same operations in the same order. At most one proposal is
 * pending at a time.
 *
 * <pre>
 *  from       operation  to         condition or consequence
 *  -          PROPOSE    PROPOSED   no proposal is pending, and the settings are valid
 *  PROPOSED   REFUSE     REFUSED
 *  PROPOSED   ABORT      ABORTED
 *  PROPOSED   DECIDE     DECIDED    from here on no lease is granted on the previous version alone
 *  DECIDED    HOLD       HOLDS      all leases on the previous version alone have expired; DECIDED has no other exit
 * </pre>
 *
 * Invariants:
 * <ol>
 * <li>Proposal numbers increase; the number of the active version never decreases.
 * <li>A version that was refused or aborted never becomes decided or active.
 * <li>A version is decided for some time before it becomes active in place of the previous one.
 * </ol>
 */
public final class PolicyLog {
    private static final int MAX_FINISHED = 200;
    private static final int MAX_SETTINGS_CHARACTERS = 16_384;

    /** Marks the outcome of an operation that was rejected and changed no state. */
    private static final String FAILURE_PREFIX = "!";

    private final List<PolicyVersion> finished = new ArrayList<>();
    private PolicyVersion active = PolicyVersion.INITIAL;
    private PolicyVersion pending;
    private long lastNumber;
    private long lastAppliedIndex;

    /** Applies an operation. Its issuer receives the outcome: the proposal's number, or {@code !} and an error. */
    public String apply(long index, LogOperation operation) {
        lastAppliedIndex = index;
        if (operation.kind() == Kind.NEW_TERM) {
            return "";
        }
        if (operation.kind() == Kind.PROPOSE) {
            return propose(operation);
        }
        if (pending == null || pending.number() != operation.proposalNumber()) {
            return FAILURE_PREFIX + "no proposal " + operation.proposalNumber() + " is open";
        }
        boolean isDecided = pending.stage() == Stage.DECIDED;
        if (isDecided != (operation.kind() == Kind.HOLD)) {
            String reason = isDecided ? " is decided and will hold" : " is not decided";
            return FAILURE_PREFIX + operation.proposalNumber() + reason;
        }
        advance(operation);
        return Long.toString(operation.proposalNumber());
    }

    private void advance(LogOperation operation) {
        switch (operation.kind()) {
            case REFUSE -> finish(pending.withStage(Stage.REFUSED, operation.issuer() + ": " + operation.text()));
            case ABORT -> finish(pending.withStage(Stage.ABORTED, "aborted by " + operation.issuer()));
            case DECIDE -> pending = pending.withStage(Stage.DECIDED, "");
            case HOLD -> {
                active = pending.withStage(Stage.HOLDS, "");
                finish(active);
            }
            default -> throw new IllegalArgumentException(
                    "found " + operation.kind() + ", an operation on a pending proposal is expected");
        }
    }

    private String propose(LogOperation operation) {
        for (PolicyVersion version : finished) {
            if (version.token().equals(operation.token())) {
                return Long.toString(version.number());
            }
        }
        if (pending != null) {
            return pending.token().equals(operation.token())
                    ? Long.toString(pending.number())
                    : FAILURE_PREFIX + "proposal " + pending.number() + " by " + pending.proposer() + " is still open";
        }
        String settings;
        try {
            settings = normalizeSettings(operation.text());
        } catch (IllegalArgumentException e) {
            return FAILURE_PREFIX + e.getMessage();
        }
        lastNumber++;
        pending = new PolicyVersion(lastNumber, settings, operation.issuer(), Stage.PROPOSED, "", operation.token());
        return Long.toString(lastNumber);
    }

    private static String normalizeSettings(String text) {
        if (text.length() > MAX_SETTINGS_CHARACTERS) {
            throw new IllegalArgumentException("the settings have " + text.length() + " characters, at most "
                    + MAX_SETTINGS_CHARACTERS + " are expected");
        }
        return PolicySettings.parse(text).toJson();
    }

    private void finish(PolicyVersion version) {
        pending = null;
        finished.add(version);
        if (finished.size() > MAX_FINISHED) {
            finished.remove(0);
        }
    }

    /** The active version. */
    public PolicyVersion active() {
        return active;
    }

    /** The pending proposal, or null. */
    public PolicyVersion pending() {
        return pending;
    }

    /** The index of the last applied entry. */
    public long lastAppliedIndex() {
        return lastAppliedIndex;
    }

    /** The last 200 finished proposals, oldest first. */
    public List<PolicyVersion> finished() {
        return List.copyOf(finished);
    }

    /** A snapshot of the whole state. */
    public PolicyLogSnapshot toSnapshot() {
        return new PolicyLogSnapshot(lastNumber, active, finished, pending);
    }

    /** Replaces the whole state by a snapshot that was taken at this index. */
    public void restoreSnapshot(long index, PolicyLogSnapshot snapshot) {
        lastAppliedIndex = index;
        lastNumber = snapshot.lastNumber();
        active = snapshot.active();
        finished.clear();
        finished.addAll(snapshot.finished());
        pending = snapshot.pending();
    }
}
