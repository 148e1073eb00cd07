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
 * Checks the lists that one node's reader receives against the list of all servers, independently of how a subset is
 * chosen.
 *
 * <ol>
 * <li>A shard with live servers uses the wanted number of them, or all if there are fewer.
 * <li>The servers in use are in the wanted number of zones, or in all zones of the shard's live servers if there are
 * fewer.
 * <li>No draining or gone server is in use.
 * <li>For each server that it names, a change opens at most two connections: one to that server, and one in place of
 * a server that it displaces.
 * <li>A live server that leaves the subset is published as draining first.
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

    /** A shard's live servers with their zones, and the number of distinct zones. */
    record LiveShard(Map<String, String> zones, int zoneCount) {}

    /** Returns the live servers of each shard. Costs O(servers), so call it once per step and not for each node. */
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

    /** Checks rules 1 to 3, after the reader has applied the list of a step. */
    void checkSelection(String step, SubsetReader reader, List<LiveShard> live) {
        for (int shard = 0; shard < shape.shards(); shard++) {
            Set<String> used = reader.liveServers(shard);
            Map<String, String> zonesById = live.get(shard).zones();
            int wanted = Math.min(shape.settings().replicasPerShard(), zonesById.size());
            if (used.size() < wanted) {
                violations.add(
                        "1: " + step + ": shard " + shard + " uses " + used.size() + " servers, expected " + wanted);
            }
            Set<String> zones = new HashSet<>();
            used.forEach(id -> zones.add(String.valueOf(zonesById.get(id))));
            if (zones.size()
                    < Math.min(shape.settings().leastZones(), live.get(shard).zoneCount())) {
                violations.add("2: " + step + ": shard " + shard + " uses only the zones " + zones);
            }
            if (!zonesById.keySet().containsAll(used)) {
                violations.add("3: " + step + ": shard " + shard + " uses a draining or gone server");
            }
        }
    }

    /** Checks rule 4: the number of connections that a change has opened. */
    void checkMoves(String step, EndpointList change, int opened) {
        if (!change.isComplete() && opened > 2 * change.endpoints().size()) {
            violations.add("4: " + step + ": " + opened + " connections opened, expected at most two for each of "
                    + change.endpoints().size() + " changed servers");
        }
    }

    /** Checks rule 5, before the reader applies its list: no live server in use is removed without draining first. */
    void checkDraining(String step, EndpointList own, Set<String> wasLive, Map<String, Endpoint> all) {
        for (Endpoint endpoint : own.endpoints()) {
            Endpoint listed = all.get(endpoint.id());
            boolean leaves =
                    endpoint.state() == Server.State.GONE && listed != null && listed.state() == Server.State.LIVE;
            if (leaves && wasLive.contains(endpoint.id())) {
                violations.add("5: " + step + ": " + endpoint.id() + " is live and in use, but published as gone");
            }
        }
    }

    /** Returns the first few violations in alphabetical order. */
    List<String> examples() {
        return violations.stream().sorted(Comparator.naturalOrder()).limit(3).toList();
    }
}
