package spartrail.model;

/**
 * What a front node knows of the fleet, one immutable value that its event loop takes once an iteration and hands to the
 * coordinator. Where nodes don't talk to each other, it is what the settings state.
 *
 * @param maxNodes the most front nodes that may be there
 * @param trusted whether the node trusts that count now
 * @param fromPeers whether it comes from the nodes themselves, not from settings
 */
public record FleetView(int maxNodes, boolean trusted, boolean fromPeers) {
    /** The view from settings alone. */
    public static FleetView fromSettings(int nodes) {
        return new FleetView(nodes, true, false);
    }

    /**
     * The number of nodes whose load on a server adds up: as many as may be there, so that a partition or a slow start makes no
     * node take more than its share. In doubt no fewer than the settings state.
     */
    public int effectiveNodes(int configuredNodes) {
        return Math.max(1, trusted ? maxNodes : Math.max(maxNodes, configuredNodes));
    }
}
