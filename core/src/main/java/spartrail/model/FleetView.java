package spartrail.model;

/**
 * A front node's knowledge of the fleet of front nodes. The event loop takes one immutable value each iteration and
 * passes it to the coordinator. If the nodes don't communicate, the value comes from the settings.
 *
 * @param maxNodes the highest possible number of front nodes
 * @param trusted whether the node trusts that number now
 * @param fromPeers whether the number comes from the nodes themselves, not from settings
 */
public record FleetView(int maxNodes, boolean trusted, boolean fromPeers) {
    /** Returns the view that follows from the settings alone. */
    public static FleetView fromSettings(int nodes) {
        return new FleetView(nodes, true, false);
    }

    /**
     * Returns the number of nodes whose load on a server adds up. It is the highest possible number, so that neither a
     * partition nor a slow start makes a node take more than its share. If the number is not trusted, the result is at
     * least the number in the settings.
     */
    public int effectiveNodes(int configuredNodes) {
        return Math.max(1, trusted ? maxNodes : Math.max(maxNodes, configuredNodes));
    }
}
