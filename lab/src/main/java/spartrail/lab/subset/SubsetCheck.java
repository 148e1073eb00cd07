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
 * Checks what one node's reader is told against all servers, which it is given apart; it knows nothing of how a subset is chosen.
 *
 * <ol>
 * <li>A shard with a live server has one in use, and as many as wanted or as there are.
 * <li>They are in as many zones as wanted, where its live servers are.
 * <li>No server is in use that drains or is gone.
 * <li>A change moves at most one connection for each server that it names and one that each of these displaces.
 * <li>A server that leaves the subset, and is live, is told as draining first.
 * </ol>
 */
final class SubsetCheck {
    private final FleetShape shape;
    private final List<String> breaches = new ArrayList<>();

    SubsetCheck(FleetShape shape) {
        this.shape = shape;
    }

    List<String> breaches() {
        return breaches;
    }

    /** A shard's live servers with their zones, and in how many of them they are. */
    record LiveShard(Map<String, String> zones, int zoneCount) {}

    /** The live servers of each shard. Cost: by all servers, so once for a step and not for each node. */
    static List<LiveShard> liveByShard(FleetShape shape, Map<String, Endpoint> all) {
        List<Map<String, String>> shards = new ArrayList<>();
        for (int shard = 0; shard < shape.shards(); shard++) {
            shards.add(new HashMap<>());
        }
        for (Endpoint line : all.values()) {
            if (line.state() == Server.State.LIVE) {
                shards.get(line.cell()).put(line.id(), line.zone());
            }
        }
        return shards.stream()
                .map(zones -> new LiveShard(zones, new HashSet<>(zones.values()).size()))
                .toList();
    }

    /** After a step that the node has heard of. */
    void standing(String what, SubsetReader reader, List<LiveShard> live) {
        for (int shard = 0; shard < shape.shards(); shard++) {
            Set<String> used = reader.live(shard);
            Map<String, String> there = live.get(shard).zones();
            int wanted = Math.min(shape.settings().replicasPerShard(), there.size());
            if (used.size() < wanted) {
                breaches.add("1: " + what + ": shard " + shard + " has " + used.size() + " of " + wanted);
            }
            Set<String> zones = new HashSet<>();
            used.forEach(id -> zones.add(String.valueOf(there.get(id))));
            if (zones.size()
                    < Math.min(shape.settings().leastZones(), live.get(shard).zoneCount())) {
                breaches.add("2: " + what + ": shard " + shard + " in " + zones);
            }
            if (!there.keySet().containsAll(used)) {
                breaches.add("3: " + what + ": shard " + shard + " uses one that drains or is gone");
            }
        }
    }

    /** What a change by the list's own lines has moved. */
    void moved(String what, EndpointList change, int opened) {
        if (!change.all() && opened > 2 * change.lines().size()) {
            breaches.add("4: " + what + ": " + opened + " opened for "
                    + change.lines().size() + " changes");
        }
    }

    /** Before the reader takes its list: none that is live in both lists goes without draining. */
    void leaving(String what, EndpointList own, Set<String> wasLive, Map<String, Endpoint> all) {
        for (Endpoint line : own.lines()) {
            Endpoint listed = all.get(line.id());
            boolean leaves = line.state() == Server.State.GONE && listed != null && listed.state() == Server.State.LIVE;
            if (leaves && wasLive.contains(line.id())) {
                breaches.add("5: " + what + ": " + line.id() + " is live, in use, and told as gone");
            }
        }
    }

    /** The first few, in order. */
    List<String> examples() {
        return breaches.stream().sorted(Comparator.naturalOrder()).limit(3).toList();
    }
}
