package spartrail.policy;

/**
 * What a node is told: this held when it asked.
 *
 * @param nonce of its question
 * @param index the log was applied up to there
 * @param open the proposal that is open, or null
 */
public record PolicyResponse(long nonce, long index, PolicyLog.Entry holds, PolicyLog.Entry open) {}
