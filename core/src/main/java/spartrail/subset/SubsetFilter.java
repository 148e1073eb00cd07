package spartrail.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;
import spartrail.subset.SubsetSelector.LiveServer;

/**
 * Turns lists of all servers into lists of those that this node uses. Whoever reads them needs to know nothing of subsets.
 *
 * <p>A live server that leaves the subset is told as one that drains: it gets nothing new, what it has is finished, and its end is
 * no death. With the first list after the longest time that anything can be out there, it is told as gone.
 *
 * <p>Cost: by the lines of the list, and by the replicas of the shards that their servers hold.
 */
public final class SubsetFilter {
    private final SubsetSelector selector;
    private final double longestOutMs;
    /** Every server that is not gone. */
    private final Map<String, Endpoint> known = new HashMap<>();
    /** Servers that the reader knows of. */
    private final Set<String> told = new HashSet<>();
    /** Servers told as draining because they left the subset, and when; the first to leave first. */
    private final Map<String, Double> displacedMs = new LinkedHashMap<>();
    /** Names of zones and kinds, once each: a list repeats them in every line. */
    private final Map<String, String> names = new HashMap<>();

    /** What was sent to a server may be out there for as long as that. */
    public SubsetFilter(SubsetSelector selector, double longestOutMs) {
        this.selector = selector;
        this.longestOutMs = longestOutMs;
    }

    /** What this list, or change of a list, means for the node's own servers. Of a server that is named twice the last counts. */
    public EndpointList own(EndpointList list, double nowMs) {
        Map<String, Endpoint> lines = new LinkedHashMap<>();
        list.lines().forEach(line -> lines.put(line.id(), line));
        Map<String, Endpoint> gone = note(lines, list.all());
        List<LiveServer> live = new ArrayList<>();
        List<String> notLive = new ArrayList<>(gone.keySet());
        for (Endpoint line : lines.values()) {
            if (line.state() == Server.State.LIVE) {
                live.add(new LiveServer(line.id(), line.zone(), line.cell(), line.rating()));
            } else if (line.state() == Server.State.DRAINING) {
                notLive.add(line.id());
            }
        }
        SubsetChange change = selector.apply(live, notLive);
        Map<String, Endpoint> own = new LinkedHashMap<>();
        lines.values().forEach(line -> pass(line, own, nowMs));
        change.joined().forEach(id -> join(id, own));
        change.displaced().forEach(id -> displace(known.get(id), own, nowMs));
        gone.values().forEach(line -> tellGone(line, own));
        forgetDisplaced(own, nowMs);
        return new EndpointList(list.version(), false, List.copyOf(own.values()));
    }

    /** How many of so many front nodes can use the same server. */
    public int nodesPerServer(int nodes) {
        return selector.nodesPerServer(nodes);
    }

    /** Keeps what the list tells; returns those that it ends. */
    private Map<String, Endpoint> note(Map<String, Endpoint> lines, boolean all) {
        Map<String, Endpoint> gone = all ? new HashMap<>(known) : new HashMap<>();
        for (Endpoint line : lines.values()) {
            if (line.state() == Server.State.GONE) {
                gone.put(line.id(), known.getOrDefault(line.id(), line));
            } else {
                gone.remove(line.id());
                known.put(line.id(), shared(line));
            }
        }
        gone.keySet().forEach(known::remove);
        return gone;
    }

    private Endpoint shared(Endpoint line) {
        return new Endpoint(
                line.id(),
                line.address(),
                shared(line.zone()),
                shared(line.kind()),
                line.cell(),
                line.state(),
                line.rating(),
                line.bootMs());
    }

    private String shared(String name) {
        return names.computeIfAbsent(name, same -> same);
    }

    private void pass(Endpoint line, Map<String, Endpoint> own, double nowMs) {
        if (line.state() == Server.State.GONE || !told.contains(line.id())) {
            return;
        }
        if (line.state() == Server.State.LIVE && !selector.selected(line.id())) {
            // Also one that drained and is back, while others have taken its place.
            displace(line, own, nowMs);
        } else {
            own.put(line.id(), line);
        }
    }

    private void join(String id, Map<String, Endpoint> own) {
        displacedMs.remove(id);
        told.add(id);
        own.put(id, known.get(id));
    }

    private void displace(Endpoint line, Map<String, Endpoint> own, double nowMs) {
        displacedMs.putIfAbsent(line.id(), nowMs);
        own.put(line.id(), line.with(Server.State.DRAINING));
    }

    private void tellGone(Endpoint line, Map<String, Endpoint> own) {
        displacedMs.remove(line.id());
        if (told.remove(line.id())) {
            own.put(line.id(), line.with(Server.State.GONE));
        }
    }

    /** Danger: servers that left the subset long ago would fill the reader's memory. */
    private void forgetDisplaced(Map<String, Endpoint> own, double nowMs) {
        Iterator<Map.Entry<String, Double>> oldest = displacedMs.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Double> next = oldest.next();
            if (nowMs - next.getValue() < longestOutMs) {
                return;
            }
            oldest.remove();
            told.remove(next.getKey());
            own.put(next.getKey(), known.get(next.getKey()).with(Server.State.GONE));
        }
    }
}
