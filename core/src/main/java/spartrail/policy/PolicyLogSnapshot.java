package spartrail.policy;

import java.util.List;

/**
 * The state of a {@link PolicyLog}.
 *
 * @param lastNumber of the latest proposal
 * @param finished proposals that have ended, oldest first
 * @param pending the proposal that has not, or null
 */
public record PolicyLogSnapshot(
        long lastNumber, PolicyVersion active, List<PolicyVersion> finished, PolicyVersion pending) {
    /** Keeps a copy of the list. */
    public PolicyLogSnapshot {
        finished = List.copyOf(finished);
    }
}
