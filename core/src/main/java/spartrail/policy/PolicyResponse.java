package spartrail.policy;

/**
 * The response to a poll: these versions were active and pending when the poll came.
 *
 * @param nonce of the poll
 * @param appliedIndex the log was applied up to there
 * @param pending the proposal that has not ended, or null
 */
public record PolicyResponse(long nonce, long appliedIndex, PolicyVersion active, PolicyVersion pending) {}
