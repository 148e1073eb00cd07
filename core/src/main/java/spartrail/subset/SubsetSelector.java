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
 * The servers that one front node uses, chosen from all live ones by names alone.
 *
 * <p>Always:
 * <ol>
 * <li>A shard with a live replica has one in the subset; one with no more live replicas than wanted has all of them.
 * <li>They are in at least the wanted number of zones where the live replicas are.
 * <li>A server that is not live is not in it; the next in order takes its place at once.
 * <li>The same live servers give the same subset, whatever came before.
 * </ol>
 *
 * <p>Cost: a change of one server takes time by the replicas of the shards that it holds, whatever the number of servers. Memory
 * is kept for every live server, as each may have to take the place of another. An instance belongs to one thread.
 */
public final class SubsetSelector {
    private final SubsetSettings settings;
    private final RendezvousHash order;
    private final int cells;
    private final int replicationFactor;
    private final List<ReplicaGroup> groups = new ArrayList<>();
    private final Map<String, Replica> live = new HashMap<>();

    /**
     * Shard s is held by the cells (s + j) mod cells, j from 0 to the replication factor less one, so shards of the same s mod cells
     * are one group.
     */
    public SubsetSelector(String node, SubsetSettings settings, int shards, int cells, int replicationFactor) {
        this.settings = settings;
        this.order = new RendezvousHash(node);
        this.cells = Math.max(1, cells);
        this.replicationFactor = Math.min(replicationFactor, this.cells);
        for (int group = 0; group < Math.min(shards, this.cells); group++) {
            groups.add(new ReplicaGroup());
        }
    }

    /** A server that is live from now on, or still is, perhaps elsewhere or with another weight. */
    public record LiveServer(String id, String zone, int cell, double weight) {}

    /** Takes what has changed: servers that are live, and the names of those that are not. */
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
            for (ReplicaGroup group : groupsOf(replica.cell)) {
                group.remove(replica);
                touched.add(group);
            }
        }
    }

    private void add(LiveServer server, Set<ReplicaGroup> touched) {
        Replica replica =
                new Replica(server.id, server.zone, server.cell, server.weight, order.score(server.id, server.weight));
        live.put(server.id, replica);
        for (ReplicaGroup group : groupsOf(replica.cell)) {
            group.add(replica);
            touched.add(group);
        }
    }

    private List<ReplicaGroup> groupsOf(int cell) {
        List<ReplicaGroup> held = new ArrayList<>(replicationFactor);
        for (int offset = 0; offset < replicationFactor; offset++) {
            int group = Math.floorMod(cell - offset, cells);
            if (group < groups.size()) {
                held.add(groups.get(group));
            }
        }
        return held;
    }

    private SubsetChange select(Set<ReplicaGroup> touched) {
        Set<String> candidates = new LinkedHashSet<>();
        Set<String> before = new HashSet<>();
        for (ReplicaGroup group : touched) {
            group.choose(settings);
            for (Replica replica : group.selectedAndChosen()) {
                candidates.add(replica.id);
                if (replica.selectedIn > 0) {
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

    /** Whether this server is in the subset. */
    public boolean isSelected(String id) {
        Replica replica = live.get(id);
        return replica != null && replica.selectedIn > 0;
    }

    /** The servers in the subset, each once, shard by shard. */
    public Collection<String> selectedServers() {
        Set<String> ids = new LinkedHashSet<>();
        groups.forEach(group -> group.selected().forEach(replica -> ids.add(replica.id)));
        return ids;
    }

    /** How many servers are live. */
    public int liveServerCount() {
        return live.size();
    }

    /** How many groups of shards there are: shard s belongs to group s mod that many; with more cells than shards, to its own. */
    public int groupCount() {
        return groups.size();
    }

    /** Those chosen for the shards of a group, in order. */
    public List<String> selectedReplicas(int group) {
        return groups.get(group).selected().stream().map(replica -> replica.id).toList();
    }

    /** The zones of those chosen for the shards of a group. */
    public int zoneCount(int group) {
        return (int) groups.get(group).selected().stream()
                .map(replica -> replica.zone)
                .distinct()
                .count();
    }

    /** Those that follow, in the order in which they take the place of one that is no longer live. */
    public List<String> spares(int group) {
        return groups.get(group).spares().stream().map(replica -> replica.id).toList();
    }

    /**
     * How many of so many nodes can have the same server in their subsets: exceeded with a probability of less than
     * {@link SharingBound#EXCEEDANCE_PROBABILITY} for any one server. Cost: by the groups of shards.
     */
    public int nodesPerServer(int nodes) {
        double largest = 0;
        for (ReplicaGroup group : groups) {
            largest = Math.max(largest, group.inclusionProbability());
        }
        return SharingBound.nodesPerServer(nodes, Math.min(1, largest * replicationFactor));
    }
}
