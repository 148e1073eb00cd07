package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

/**
 * Checks what one node's reader is told against the list of all servers; it knows nothing of how a subset is chosen.
 *
 * <ol>
 * <li>A shard with a live server has one in use, and as many as wanted or as there are.
 * <li>They are in as many zones as wanted, where its live servers are.
 * <li>No server is in use that drains or is gone.
 * <li>A change moves at most one connection for each server that it names and one that each of these displaces.
 * <li>A server that leaves the subset, and is live, is published as draining first.
 * </ol>
 */
final class SubsetCheck {
    private final FleetShape shape;
    private final List<String> violations = new ArrayList<>();

    SubsetCheck(FleetShape shape) {
        this.shape = shape;
    }

    List<String> violations() {
        return violations;
    }

    /** A shard's live servers with their zones, and in how many of them they are. */
    record LiveShard(Map<String, String> zones, int zoneCount) {}

    /** The live servers of each shard. Cost: by all servers, so once for a step and not for each node. */
    static List<LiveShard> liveByShard(FleetShape shape, Map<String, Endpoint> all) {
        List<Map<String, String>> shards = new ArrayList<>();
        for (int shard = 0; shard < shape.shards(); shard++) {
            shards.add(new HashMap<>());
        }
        for (Endpoint endpoint : all.values()) {
            if (endpoint.state() == Server.State.LIVE) {
                shards.get(endpoint.cell()).put(endpoint.id(), endpoint.zone());
            }
        }
        return shards.stream()
                .map(zones -> new LiveShard(zones, new HashSet<>(zones.values()).size()))
                .toList();
    }

    /** After a step whose list the node has taken: rules 1 to 3. */
    void checkSelection(String step, SubsetReader reader, List<LiveShard> live) {
        for (int shard = 0; shard < shape.shards(); shard++) {
            Set<String> used = reader.liveServers(shard);
            Map<String, String> zonesById = live.get(shard).zones();
            int wanted = Math.min(shape.settings().replicasPerShard(), zonesById.size());
            if (used.size() < wanted) {
                violations.add("1: " + step + ": shard " + shard + " has " + used.size() + " of " + wanted);
            }
            Set<String> zones = new HashSet<>();
            used.forEach(id -> zones.add(String.valueOf(zonesById.get(id))));
            if (zones.size()
                    < Math.min(shape.settings().leastZones(), live.get(shard).zoneCount())) {
                violations.add("2: " + step + ": shard " + shard + " in " + zones);
            }
            if (!zonesById.keySet().containsAll(used)) {
                violations.add("3: " + step + ": shard " + shard + " uses one that drains or is gone");
            }
        }
    }

    /** How many connections a change has opened: rule 4. */
    void checkMoves(String step, EndpointList change, int opened) {
        if (!change.isComplete() && opened > 2 * change.endpoints().size()) {
            violations.add("4: " + step + ": " + opened + " opened for "
                    + change.endpoints().size() + " changes");
        }
    }

    /** Before the reader takes its list: no server that is live in both lists goes without draining, rule 5. */
    void checkDraining(String step, EndpointList own, Set<String> wasLive, Map<String, Endpoint> all) {
        for (Endpoint endpoint : own.endpoints()) {
            Endpoint listed = all.get(endpoint.id());
            boolean leaves =
                    endpoint.state() == Server.State.GONE && listed != null && listed.state() == Server.State.LIVE;
            if (leaves && wasLive.contains(endpoint.id())) {
                violations.add("5: " + step + ": " + endpoint.id() + " is live, in use, and told as gone");
            }
        }
    }

    /** The first few, in order. */
    List<String> examples() {
        return violations.stream().sorted(Comparator.naturalOrder()).limit(3).toList();
    }
}
