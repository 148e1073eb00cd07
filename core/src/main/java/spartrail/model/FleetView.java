package spartrail.model;

/**
 * All that a front node is told of the fleet, one immutable value that its loop takes once a turn and hands to the module.
 * Where nodes do not talk to each other, it is what the settings tell.
 *
 * @param most so many front nodes can be there
 * @param sure the node trusts that count now
 * @param heard it comes from the nodes themselves, not from settings
 */
public record FleetView(int maxNodes, boolean trusted, boolean fromPeers) {
    /** The same from settings alone. */
    public static FleetView fromSettings(int nodes) {
        return new FleetView(nodes, true, false);
    }

    /**
     * How many nodes what each of them does adds up to: as many as can be there, so that a cut or a slow start makes no node
     * take more than its part. In doubt no fewer than the settings tell.
     */
    public int effectiveNodes(int configuredNodes) {
        return Math.max(1, trusted ? maxNodes : Math.max(maxNodes, configuredNodes));
    }
}
