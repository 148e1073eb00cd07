package spartrail.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Which cells hold which shards: shard s is held by the cells (s + j) mod cells, j from 0 to reach - 1. */
public final class Layout {
    public final List<Shard> shards = new ArrayList<>();
    private final int cells;
    public final int reach;

    public Layout(int shardCount, int cells, int reach, Comparator<Part> order) {
        for (int i = 0; i < shardCount; i++) {
            shards.add(new Shard(i, order));
        }
        this.cells = Math.max(1, cells);
        this.reach = Math.min(reach, this.cells);
    }

    /** Ties shards and servers to each other; only live servers are replicas. */
    public void tie(Collection<Server> servers) {
        shards.forEach(shard -> shard.replicas.clear());
        for (Server server : servers) {
            server.shards.clear();
            for (int back = 0; back < reach; back++) {
                for (int at = Math.floorMod(server.cell - back, cells); at < shards.size(); at += cells) {
                    server.shards.add(shards.get(at));
                    if (server.state == Server.State.LIVE) {
                        shards.get(at).replicas.add(server);
                    }
                }
            }
        }
    }
}
