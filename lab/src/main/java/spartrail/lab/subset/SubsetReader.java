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

/** A reader of a node's own lists, as its coordinator is one: the servers that it may send to, shard by shard. */
final class SubsetReader {
    private final Map<String, Endpoint> known = new HashMap<>();
    private final List<Set<String>> live = new ArrayList<>();

    SubsetReader(int shards) {
        for (int shard = 0; shard < shards; shard++) {
            live.add(new HashSet<>());
        }
    }

    /** Applies a list; returns how many servers have come into use. */
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

    /** Servers that it knows, draining ones included. */
    int knownServers() {
        return known.size();
    }
}
