package spartrail.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The assignment of shards to cells: shard s is held by the cells (s + j) mod cells, j from 0 to replicationFactor - 1.
 */
public final class Layout {
    public final List<Shard> shards = new ArrayList<>();
    private final int cells;
    public final int replicationFactor;

    /** Creates the shards; their queues are sorted in this order. */
    public Layout(int shardCount, int cells, int replicationFactor, Comparator<Part> order) {
        for (int i = 0; i < shardCount; i++) {
            shards.add(new Shard(i, order));
        }
        this.cells = Math.max(1, cells);
        this.replicationFactor = Math.min(replicationFactor, this.cells);
    }

    /**
     * Assigns shards and servers to each other; only live servers become replicas. Visits all servers and their shards.
     */
    public void assignReplicas(Collection<Server> servers) {
        shards.forEach(shard -> shard.replicas.clear());
        for (Server server : servers) {
            server.shards.clear();
            for (int offset = 0; offset < replicationFactor; offset++) {
                assignShards(server, Math.floorMod(server.cell - offset, cells));
            }
        }
    }

    private void assignShards(Server server, int firstNumber) {
        for (int number = firstNumber; number < shards.size(); number += cells) {
            Shard shard = shards.get(number);
            server.shards.add(shard);
            if (server.state == Server.State.LIVE) {
                shard.replicas.add(server);
            }
        }
    }
}
