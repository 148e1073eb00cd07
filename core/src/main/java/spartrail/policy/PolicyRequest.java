package spartrail.policy;

/**
 * A node's poll for the active version; it carries the node's vote. The lease that the response grants starts at the
 * time of the poll, by the node's clock.
 *
 * @param nonce random; the response repeats it
 * @param node the name of the node that polls
 * @param votedNumber the number of the proposal that the node has voted on; 0 for none
 * @param objection why the node cannot apply that proposal; empty if it can
 * @param activePolicy the label of the node's lease, as in {@link PolicyLease#label}
 */
public record PolicyRequest(long nonce, String node, long votedNumber, String objection, String activePolicy) {}
