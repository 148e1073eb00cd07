package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

/** Reads a node's subset lists as its coordinator does, and keeps the live servers of each shard. */
final class SubsetReader {
    private final Map<String, Endpoint> known = new HashMap<>();
    private final List<Set<String>> live = new ArrayList<>();

    SubsetReader(int shards) {
        for (int shard = 0; shard < shards; shard++) {
            live.add(new HashSet<>());
        }
    }

    /** Applies a list; returns how many servers it newly puts into use. */
    int apply(EndpointList list) {
        int opened = 0;
        for (Endpoint endpoint : list.endpoints()) {
            Endpoint before = endpoint.state() == Server.State.GONE
                    ? known.remove(endpoint.id())
                    : known.put(endpoint.id(), endpoint);
            if (before != null) {
                live.get(before.cell()).remove(before.id());
            }
            if (endpoint.state() == Server.State.LIVE) {
                live.get(endpoint.cell()).add(endpoint.id());
                opened += before == null || before.state() != Server.State.LIVE ? 1 : 0;
            }
        }
        return opened;
    }

    Set<String> liveServers(int shard) {
        return live.get(shard);
    }

    int connections() {
        return live.stream().mapToInt(Set::size).sum();
    }

    /** The number of known servers, including draining ones. */
    int knownServers() {
        return known.size();
    }
}
