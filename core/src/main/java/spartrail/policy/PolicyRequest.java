package spartrail.policy;

/**
 * A node polls for what is active; the lease that it gets counts from now on its clock.
 *
 * @param nonce random; the response bears it
 * @param node its name
 * @param votedNumber of the proposal that the vote is on; 0 for none
 * @param objection why the node cannot apply that proposal; empty if it can
 * @param activePolicy what the node goes by, as {@link PolicyLease#label}
 */
public record PolicyRequest(long nonce, String node, long votedNumber, String objection, String activePolicy) {}
