package spartrail.policy;

import java.util.List;

/**
 * A snapshot of the state of a {@link PolicyLog}.
 *
 * @param lastNumber the number of the latest proposal
 * @param finished the finished proposals, oldest first
 * @param pending the pending proposal, or null
 */
public record PolicyLogSnapshot(
        long lastNumber, PolicyVersion active, List<PolicyVersion> finished, PolicyVersion pending) {
    /** Copies the list. */
    public PolicyLogSnapshot {
        finished = List.copyOf(finished);
    }
}
