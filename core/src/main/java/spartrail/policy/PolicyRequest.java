package spartrail.policy;

/**
 * A node asks what holds; its lease counts from now on its clock.
 *
 * @param nonce the answer bears it
 * @param node its name
 * @param votedNumber on this proposal; 0 for none
 * @param objection why it cannot apply that; empty: it can
 * @param activePolicy what it goes by, as {@link PolicyLease#label}
 */
public record PolicyRequest(long nonce, String node, long votedNumber, String objection, String activePolicy) {}
