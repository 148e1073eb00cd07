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

/** Who reads a node's own lists, as its module does: the servers that it may send to, shard by shard. */
final class SubsetReader {
    private final Map<String, Endpoint> told = new HashMap<>();
    private final List<Set<String>> live = new ArrayList<>();

    SubsetReader(int shards) {
        for (int shard = 0; shard < shards; shard++) {
            live.add(new HashSet<>());
        }
    }

    /** Takes a list; returns how many servers it has newly been told to use. */
    int take(EndpointList list) {
        int opened = 0;
        for (Endpoint line : list.lines()) {
            Endpoint before = line.state() == Server.State.GONE ? told.remove(line.id()) : told.put(line.id(), line);
            if (before != null) {
                live.get(before.cell()).remove(before.id());
            }
            if (line.state() == Server.State.LIVE) {
                live.get(line.cell()).add(line.id());
                opened += before == null || before.state() != Server.State.LIVE ? 1 : 0;
            }
        }
        return opened;
    }

    Set<String> live(int shard) {
        return live.get(shard);
    }

    int connections() {
        return live.stream().mapToInt(Set::size).sum();
    }

    /** Servers told of, those that drain included. */
    int told() {
        return told.size();
    }
}
