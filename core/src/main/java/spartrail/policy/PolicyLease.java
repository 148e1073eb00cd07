package spartrail.policy;

/**
 * The settings that a node applies until they expire, and the lease that follows. Before each decision the caller
 * checks by its clock which lease of the chain applies.
 *
 * @param label the numbers of the versions that the settings keep to: {@code 3}; {@code 3|4} for joint settings of two
 *     versions; {@code 3?} or {@code 3|4?} once the lease has expired and the active version is known from the last
 *     response only
 * @param isJoint whether another version may be active at other nodes; the settings are the stricter of all such
 *     versions
 * @param expiresAtMs on the node's clock; infinite for the last lease of a chain
 * @param successor the lease that applies after the expiry; null for the last lease of a chain
 */
public record PolicyLease(
        String label, PolicySettings settings, boolean isJoint, double expiresAtMs, PolicyLease successor) {
    /** The first lease of this chain that has not expired at this time. */
    public PolicyLease activeAt(double nowMs) {
        PolicyLease lease = this;
        while (nowMs >= lease.expiresAtMs) {
            lease = lease.successor;
        }
        return lease;
    }
}
