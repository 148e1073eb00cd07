package spartrail.policy;

/**
 * By what a node decides now, and by what next when that is over. Whoever decides looks at its clock first.
 *
 * @param label numbers of the versions that it keeps to: {@code 3}; guarded between two {@code 3|4}; and what holds as far as the
 *     node knew when it last heard {@code 3?} or {@code 3|4?}
 * @param expiresAtMs on the node's clock; endless for the last one
 */
public record PolicyLease(
        String label, PolicySettings settings, boolean isJoint, double expiresAtMs, PolicyLease successor) {
    /** The one that holds at this time. */
    public PolicyLease activeAt(double nowMs) {
        PolicyLease lease = this;
        while (nowMs >= lease.expiresAtMs) {
            lease = lease.successor;
        }
        return lease;
    }
}
