package spartrail.policy;

/**
 * What a node goes by until a time, and what it goes by after that. Whoever decides looks at its clock first.
 *
 * @param label the numbers of the versions that it keeps to: {@code 3}; joint, between two of them, {@code 3|4}; and what was
 *     active as far as the node knew when it last heard, {@code 3?} or {@code 3|4?}
 * @param isJoint whether other versions may be active elsewhere, so that the settings are the stricter of all that may
 * @param expiresAtMs on the node's clock; infinite for the last one
 * @param successor null for the last one
 */
public record PolicyLease(
        String label, PolicySettings settings, boolean isJoint, double expiresAtMs, PolicyLease successor) {
    /** The one of this chain that has not expired at this time. */
    public PolicyLease activeAt(double nowMs) {
        PolicyLease lease = this;
        while (nowMs >= lease.expiresAtMs) {
            lease = lease.successor;
        }
        return lease;
    }
}
