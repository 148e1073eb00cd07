package spartrail.policy;

/**
 * What a node is told: this held when it asked.
 *
 * @param nonce of its question
 * @param appliedIndex the log was applied up to there
 * @param pending the proposal that is open, or null
 */
public record PolicyResponse(long nonce, long appliedIndex, PolicyLog.Entry active, PolicyLog.Entry pending) {}
