package spartrail.policy;

/**
 * A node asks what holds; its lease counts from now on its clock.
 *
 * @param nonce the answer bears it
 * @param name of the node
 * @param vote on this proposal; 0 for none
 * @param no why it cannot apply that; empty: it can
 * @param by what it goes by, as {@link PolicyLease#name}
 */
public record PolicyRequest(long nonce, String name, long vote, String no, String by) {}
