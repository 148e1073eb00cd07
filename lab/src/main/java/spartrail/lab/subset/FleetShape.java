package spartrail.lab.subset;

import spartrail.subset.SubsetFilter;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSettings;

/**
 * The size of a hollow fleet.
 *
 * @param shards the number of shards; each server holds one of them, in turn, so each has {@code servers / shards}
 *     replicas
 * @param region the prefix of the names of nodes and servers if each region has its own endpoint list, else empty
 */
public record FleetShape(int nodes, int servers, int shards, int zones, SubsetSettings settings, String region) {
    /** The longest time that a request may be in flight to a server. */
    static final double MAX_IN_FLIGHT_MS = 1000;

    /** The name of the node with this number. */
    public String node(int number) {
        return region + "node-" + number;
    }

    SubsetSelector selector(int node, SubsetSettings of) {
        return new SubsetSelector(node(node), of, shards, shards, 1);
    }

    SubsetFilter filter(int node) {
        return new SubsetFilter(selector(node, settings), MAX_IN_FLIGHT_MS);
    }
}
