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
 * Turns lists of all endpoints into lists of those that this node uses. Whoever reads them needs to know nothing of subsets.
 *
 * <p>A live server that leaves the subset is published as draining: it gets no new requests, those in flight are finished, and its
 * end is no failure. With the first list after the longest time that a request can be in flight, it is published as gone.
 *
 * <p>Cost: by the endpoints of the list, and by the replicas of the shards that they hold.
 */
public final class SubsetFilter {
    private final SubsetSelector selector;
    private final double maxInFlightMs;
    /** Every server that is not gone. */
    private final Map<String, Endpoint> known = new HashMap<>();
    /** Servers that the reader knows. */
    private final Set<String> published = new HashSet<>();
    /** When servers that are published as draining left the subset; the first to leave first. */
    private final Map<String, Double> displacedMs = new LinkedHashMap<>();
    /** Names of zones and kinds, one object each: a list repeats them in every line. */
    private final Map<String, String> sharedNames = new HashMap<>();

    /** A request may be in flight to a server for as long as {@code maxInFlightMs}. */
    public SubsetFilter(SubsetSelector selector, double maxInFlightMs) {
        this.selector = selector;
        this.maxInFlightMs = maxInFlightMs;
    }

    /**
     * What this list, or change of a list, means for the node's own endpoints: always a change. Of a server that is named twice the
     * last line counts.
     */
    public EndpointList toSubset(EndpointList list, double nowMs) {
        Map<String, Endpoint> named = new LinkedHashMap<>();
        list.endpoints().forEach(endpoint -> named.put(endpoint.id(), endpoint));
        Map<String, Endpoint> gone = update(named, list.isComplete());
        SubsetChange change = select(named, gone);
        Map<String, Endpoint> own = new LinkedHashMap<>();
        named.values().forEach(endpoint -> passOn(endpoint, own, nowMs));
        change.joined().forEach(id -> publishJoined(id, own));
        change.displaced().forEach(id -> publishDisplaced(known.get(id), own, nowMs));
        gone.values().forEach(endpoint -> publishGone(endpoint, own));
        forgetDisplaced(own, nowMs);
        return new EndpointList(list.version(), false, List.copyOf(own.values()));
    }

    /** How many of so many front nodes can use the same server. */
    public int nodesPerServer(int nodes) {
        return selector.nodesPerServer(nodes);
    }

    /** Keeps what the list says; returns the servers that it ends. */
    private Map<String, Endpoint> update(Map<String, Endpoint> named, boolean isComplete) {
        Map<String, Endpoint> gone = isComplete ? new HashMap<>(known) : new HashMap<>();
        for (Endpoint endpoint : named.values()) {
            if (endpoint.state() == Server.State.GONE) {
                gone.put(endpoint.id(), known.getOrDefault(endpoint.id(), endpoint));
            } else {
                gone.remove(endpoint.id());
                known.put(endpoint.id(), withSharedNames(endpoint));
            }
        }
        gone.keySet().forEach(known::remove);
        return gone;
    }

    private Endpoint withSharedNames(Endpoint endpoint) {
        return new Endpoint(
                endpoint.id(),
                endpoint.address(),
                shared(endpoint.zone()),
                shared(endpoint.kind()),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.bootMs());
    }

    private String shared(String name) {
        return sharedNames.computeIfAbsent(name, same -> same);
    }

    private SubsetChange select(Map<String, Endpoint> named, Map<String, Endpoint> gone) {
        List<LiveServer> live = new ArrayList<>();
        List<String> notLive = new ArrayList<>(gone.keySet());
        for (Endpoint endpoint : named.values()) {
            if (endpoint.state() == Server.State.LIVE) {
                live.add(new LiveServer(endpoint.id(), endpoint.zone(), endpoint.cell(), endpoint.weight()));
            } else if (endpoint.state() == Server.State.DRAINING) {
                notLive.add(endpoint.id());
            }
        }
        return selector.apply(live, notLive);
    }

    private void passOn(Endpoint endpoint, Map<String, Endpoint> own, double nowMs) {
        if (endpoint.state() == Server.State.GONE || !published.contains(endpoint.id())) {
            return;
        }
        if (endpoint.state() == Server.State.LIVE && !selector.isSelected(endpoint.id())) {
            // Also one that drained and is back, while others have taken its place.
            publishDisplaced(endpoint, own, nowMs);
        } else {
            own.put(endpoint.id(), endpoint);
        }
    }

    private void publishJoined(String id, Map<String, Endpoint> own) {
        displacedMs.remove(id);
        published.add(id);
        own.put(id, known.get(id));
    }

    private void publishDisplaced(Endpoint endpoint, Map<String, Endpoint> own, double nowMs) {
        displacedMs.putIfAbsent(endpoint.id(), nowMs);
        own.put(endpoint.id(), endpoint.withState(Server.State.DRAINING));
    }

    private void publishGone(Endpoint endpoint, Map<String, Endpoint> own) {
        displacedMs.remove(endpoint.id());
        if (published.remove(endpoint.id())) {
            own.put(endpoint.id(), endpoint.withState(Server.State.GONE));
        }
    }

    /** Servers that left the subset long ago are published as gone, or they would fill the reader's memory. */
    private void forgetDisplaced(Map<String, Endpoint> own, double nowMs) {
        Iterator<Map.Entry<String, Double>> oldest = displacedMs.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Double> next = oldest.next();
            if (nowMs - next.getValue() < maxInFlightMs) {
                return;
            }
            oldest.remove();
            published.remove(next.getKey());
            own.put(next.getKey(), known.get(next.getKey()).withState(Server.State.GONE));
        }
    }
}
