package spartrail.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Which cells hold which shards: shard s is held by the cells (s + j) mod cells, j from 0 to reach - 1. */
public final class Layout {
    public final List<Shard> shards = new ArrayList<>();
    private final int cells;
    public final int replicationFactor;

    public Layout(int shardCount, int cells, int replicationFactor, Comparator<Part> order) {
        for (int i = 0; i < shardCount; i++) {
            shards.add(new Shard(i, order));
        }
        this.cells = Math.max(1, cells);
        this.replicationFactor = Math.min(replicationFactor, this.cells);
    }

    /** Ties shards and servers to each other; only live servers are replicas. */
    public void assignReplicas(Collection<Server> servers) {
        shards.forEach(shard -> shard.replicas.clear());
        for (Server server : servers) {
            server.shards.clear();
            for (int offset = 0; offset < replicationFactor; offset++) {
                for (int shardNumber = Math.floorMod(server.cell - offset, cells);
                        shardNumber < shards.size();
                        shardNumber += cells) {
                    server.shards.add(shards.get(shardNumber));
                    if (server.state == Server.State.LIVE) {
                        shards.get(shardNumber).replicas.add(server);
                    }
                }
            }
        }
    }
}
