package spartrail.policy;

/**
 * The response to a poll: the versions that were active and pending after the leader received the poll.
 *
 * @param nonce the nonce of the poll
 * @param appliedIndex the index up to which the leader had applied the log
 * @param pending the pending proposal, or null
 */
public record PolicyResponse(long nonce, long appliedIndex, PolicyVersion active, PolicyVersion pending) {}
