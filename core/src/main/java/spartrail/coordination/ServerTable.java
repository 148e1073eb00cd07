package spartrail.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import spartrail.model.Layout;
import spartrail.model.Server;
import spartrail.model.Shard;

/** The servers that this node knows, by id in the order of their first listing, and the shards that they hold. */
final class ServerTable {
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private Layout layout;
    private int maxPartsPerBatch = 1;

    void configure(Layout newLayout, int newMaxPartsPerBatch) {
        layout = newLayout;
        maxPartsPerBatch = Math.max(1, newMaxPartsPerBatch);
    }

    Server getOrCreate(String id) {
        return servers.computeIfAbsent(id, Server::new);
    }

    Collection<Server> servers() {
        return servers.values();
    }

    int size() {
        return servers.size();
    }

    /** Returns the servers that match; visits all servers, so only ticks and endpoint updates may call it. */
    List<Server> findMatching(Predicate<Server> condition) {
        return findMatching(servers.values(), condition);
    }

    static List<Server> findMatching(Collection<Server> servers, Predicate<Server> condition) {
        return servers.stream().filter(condition).toList();
    }

    Shard shard(int number) {
        return layout.shards.get(number);
    }

    List<Shard> shards() {
        return layout.shards;
    }

    int replicationFactor() {
        return layout.replicationFactor;
    }

    /** Returns the most parts that one batch may carry. */
    int maxPartsPerBatch() {
        return maxPartsPerBatch;
    }

    /** Makes live servers the replicas of the shards that they hold. */
    void assignReplicas() {
        layout.assignReplicas(servers.values());
    }
}
