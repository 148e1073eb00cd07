package spartrail.subset;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the subset of the live servers that one front node uses, by the names of the node and the servers, their
 * weights and their zones.
 *
 * <p>Invariants:
 * <ol>
 * <li>The subset has at least one replica of each shard that has a live replica. It has all live replicas of a shard
 * that has no more of them than wanted.
 * <li>The selected replicas of a shard are in at least the wanted number of zones, if its live replicas are.
 * <li>A server that is not live is not in the subset; the next server in the order replaces it at once.
 * <li>The same live servers give the same subset, whatever changes led to them.
 * </ol>
 *
 * <p>Cost: a change of one server takes time proportional to the replicas of the shards that it holds, independent of
 * the total number of servers. Every live server takes memory, as it may have to replace another. An instance belongs
 * to one thread.
 */
public final class SubsetSelector {
    private final SubsetSettings settings;
    private final RendezvousHash hash;
    private final int cells;
    private final int replicationFactor;
    private final List<ReplicaGroup> groups = new ArrayList<>();
    private final Map<String, Replica> live = new HashMap<>();

    /**
     * Creates an empty selector for the node with this name. Shard s is held by the cells (s + j) mod cells, for j from
     * 0 to the replication factor minus one, so all shards with the same s mod cells form one group.
     */
    public SubsetSelector(String node, SubsetSettings settings, int shards, int cells, int replicationFactor) {
        this.settings = settings;
        this.hash = new RendezvousHash(node);
        this.cells = Math.max(1, cells);
        this.replicationFactor = Math.min(replicationFactor, this.cells);
        for (int group = 0; group < Math.min(shards, this.cells); group++) {
            groups.add(new ReplicaGroup());
        }
    }

    /** A live server; its zone, cell or weight may differ from those reported before. */
    public record LiveServer(String id, String zone, int cell, double weight) {}

    /** Applies a change: the servers that are live now, and the names of the servers that are not live any more. */
    public SubsetChange apply(Collection<LiveServer> nowLive, Collection<String> notLive) {
        Set<ReplicaGroup> touched = new LinkedHashSet<>();
        notLive.forEach(id -> remove(id, touched));
        for (LiveServer server : nowLive) {
            Replica known = live.get(server.id);
            if (known == null || !isUnchanged(known, server)) {
                remove(server.id, touched);
                add(server, touched);
            }
        }
        return select(touched);
    }

    private static boolean isUnchanged(Replica known, LiveServer server) {
        return known.zone.equals(server.zone) && known.cell == server.cell && known.weight == server.weight;
    }

    private void remove(String id, Set<ReplicaGroup> touched) {
        Replica replica = live.remove(id);
        if (replica != null) {
            for (ReplicaGroup group : findGroups(replica.cell)) {
                group.remove(replica);
                touched.add(group);
            }
        }
    }

    private void add(LiveServer server, Set<ReplicaGroup> touched) {
        Replica replica =
                new Replica(server.id, server.zone, server.cell, server.weight, hash.score(server.id, server.weight));
        live.put(server.id, replica);
        for (ReplicaGroup group : findGroups(replica.cell)) {
            group.add(replica);
            touched.add(group);
        }
    }

    private List<ReplicaGroup> findGroups(int cell) {
        List<ReplicaGroup> result = new ArrayList<>(replicationFactor);
        for (int offset = 0; offset < replicationFactor; offset++) {
            int group = Math.floorMod(cell - offset, cells);
            if (group < groups.size()) {
                result.add(groups.get(group));
            }
        }
        return result;
    }

    private SubsetChange select(Set<ReplicaGroup> touched) {
        Set<String> candidates = new LinkedHashSet<>();
        Set<String> before = new HashSet<>();
        for (ReplicaGroup group : touched) {
            group.choose(settings);
            for (Replica replica : group.selectedAndChosen()) {
                candidates.add(replica.id);
                if (replica.selectedGroupCount > 0) {
                    before.add(replica.id);
                }
            }
        }
        touched.forEach(ReplicaGroup::applyChoice);
        List<String> joined = new ArrayList<>();
        List<String> displaced = new ArrayList<>();
        for (String id : candidates) {
            if (isSelected(id) && !before.contains(id)) {
                joined.add(id);
            } else if (!isSelected(id) && before.contains(id) && live.containsKey(id)) {
                displaced.add(id);
            }
        }
        return new SubsetChange(joined, displaced);
    }

    /** Whether the server is in the subset. */
    public boolean isSelected(String id) {
        Replica replica = live.get(id);
        return replica != null && replica.selectedGroupCount > 0;
    }

    /** The names of the servers in the subset, each once, ordered by group of shards. */
    public Collection<String> selectedServers() {
        Set<String> ids = new LinkedHashSet<>();
        groups.forEach(group -> group.selected().forEach(replica -> ids.add(replica.id)));
        return ids;
    }

    /** The number of live servers. */
    public int liveServerCount() {
        return live.size();
    }

    /**
     * The number n of groups of shards, which is the lesser of the numbers of shards and cells; shard s is in group s
     * mod n.
     */
    public int groupCount() {
        return groups.size();
    }

    /** The names of the replicas selected for the shards of a group, in the node's order. */
    public List<String> selectedReplicas(int group) {
        return groups.get(group).selected().stream().map(replica -> replica.id).toList();
    }

    /** The number of zones of the replicas selected for the shards of a group. */
    public int zoneCount(int group) {
        return (int) groups.get(group).selected().stream()
                .map(replica -> replica.zone)
                .distinct()
                .count();
    }

    /**
     * The live replicas of a group that are not selected, in the order in which they replace servers that are no longer
     * live.
     */
    public List<String> spares(int group) {
        return groups.get(group).spares().stream().map(replica -> replica.id).toList();
    }

    /**
     * An upper bound of the number of nodes, out of {@code nodes}, that have the same server in their subsets. For any
     * one server it is exceeded with a probability of less than {@link SharingBound#EXCEEDANCE_PROBABILITY}. Cost:
     * proportional to the groups of shards.
     */
    public int nodesPerServer(int nodes) {
        double largest = 0;
        for (ReplicaGroup group : groups) {
            largest = Math.max(largest, group.inclusionProbability());
        }
        return SharingBound.nodesPerServer(nodes, Math.min(1, largest * replicationFactor));
    }
}
