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
 * Converts lists of all endpoints into lists of the endpoints that this node uses, so that the reader of the lists does
 * not have to deal with subsets.
 *
 * <p>A live server that leaves the subset is published as draining: it receives no new requests, requests in flight are
 * completed, and its removal does not count as a failure. It is published as gone with the first list after the maximum
 * time that a request can be in flight.
 *
 * <p>Cost: proportional to the endpoints of the list and the replicas of the shards that they hold.
 */
public final class SubsetFilter {
    private final SubsetSelector selector;
    private final double maxInFlightMs;
    /** All servers that are not gone, by name. */
    private final Map<String, Endpoint> known = new HashMap<>();
    /** The servers that have been published and not yet published as gone. */
    private final Set<String> published = new HashSet<>();
    /** When each live server that is published as draining left the subset, the earliest first. */
    private final Map<String, Double> displacedMs = new LinkedHashMap<>();
    /** One shared object per name of a zone or kind, as a list repeats the names in every entry. */
    private final Map<String, String> internedNames = new HashMap<>();

    /** {@code maxInFlightMs} is the maximum time that a request to a server can be in flight. */
    public SubsetFilter(SubsetSelector selector, double maxInFlightMs) {
        this.selector = selector;
        this.maxInFlightMs = maxInFlightMs;
    }

    /**
     * Returns the changes of this node's endpoints that follow from a complete list or a list of changes. If a list has
     * several entries for a server, the last one counts.
     */
    public EndpointList toSubset(EndpointList list, double nowMs) {
        Map<String, Endpoint> listed = new LinkedHashMap<>();
        list.endpoints().forEach(endpoint -> listed.put(endpoint.id(), endpoint));
        Map<String, Endpoint> gone = updateKnown(listed, list.isComplete());
        SubsetChange subsetChange = select(listed, gone);
        Map<String, Endpoint> changes = new LinkedHashMap<>();
        listed.values().forEach(endpoint -> publishIfKnown(endpoint, changes, nowMs));
        subsetChange.joined().forEach(id -> publishJoined(id, changes));
        subsetChange.displaced().forEach(id -> publishDisplaced(known.get(id), changes, nowMs));
        gone.values().forEach(endpoint -> publishGone(endpoint, changes));
        forgetDisplaced(changes, nowMs);
        return new EndpointList(list.version(), false, List.copyOf(changes.values()));
    }

    /** The number of front nodes, out of {@code nodes}, that can use the same server. */
    public int nodesPerServer(int nodes) {
        return selector.nodesPerServer(nodes);
    }

    /** Stores the entries of the list; returns the servers that are gone according to the list. */
    private Map<String, Endpoint> updateKnown(Map<String, Endpoint> listed, boolean isComplete) {
        Map<String, Endpoint> gone = isComplete ? new HashMap<>(known) : new HashMap<>();
        for (Endpoint endpoint : listed.values()) {
            if (endpoint.state() == Server.State.GONE) {
                gone.put(endpoint.id(), known.getOrDefault(endpoint.id(), endpoint));
            } else {
                gone.remove(endpoint.id());
                known.put(endpoint.id(), withInternedNames(endpoint));
            }
        }
        gone.keySet().forEach(known::remove);
        return gone;
    }

    private Endpoint withInternedNames(Endpoint endpoint) {
        return new Endpoint(
                endpoint.id(),
                endpoint.address(),
                intern(endpoint.zone()),
                intern(endpoint.kind()),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.bootMs());
    }

    private String intern(String name) {
        return internedNames.computeIfAbsent(name, same -> same);
    }

    private SubsetChange select(Map<String, Endpoint> listed, Map<String, Endpoint> gone) {
        List<LiveServer> live = new ArrayList<>();
        List<String> notLive = new ArrayList<>(gone.keySet());
        for (Endpoint endpoint : listed.values()) {
            if (endpoint.state() == Server.State.LIVE) {
                live.add(new LiveServer(endpoint.id(), endpoint.zone(), endpoint.cell(), endpoint.weight()));
            } else if (endpoint.state() == Server.State.DRAINING) {
                notLive.add(endpoint.id());
            }
        }
        return selector.apply(live, notLive);
    }

    private void publishIfKnown(Endpoint endpoint, Map<String, Endpoint> changes, double nowMs) {
        if (endpoint.state() == Server.State.GONE || !published.contains(endpoint.id())) {
            return;
        }
        if (endpoint.state() == Server.State.LIVE && !selector.isSelected(endpoint.id())) {
            // Includes a server that was draining and is live again after other servers have taken its place.
            publishDisplaced(endpoint, changes, nowMs);
        } else {
            changes.put(endpoint.id(), endpoint);
        }
    }

    private void publishJoined(String id, Map<String, Endpoint> changes) {
        displacedMs.remove(id);
        published.add(id);
        changes.put(id, known.get(id));
    }

    private void publishDisplaced(Endpoint endpoint, Map<String, Endpoint> changes, double nowMs) {
        displacedMs.putIfAbsent(endpoint.id(), nowMs);
        changes.put(endpoint.id(), endpoint.withState(Server.State.DRAINING));
    }

    private void publishGone(Endpoint endpoint, Map<String, Endpoint> changes) {
        displacedMs.remove(endpoint.id());
        if (published.remove(endpoint.id())) {
            changes.put(endpoint.id(), endpoint.withState(Server.State.GONE));
        }
    }

    /**
     * Publishes as gone the servers that left the subset {@code maxInFlightMs} ago, so that the reader's memory is
     * bounded.
     */
    private void forgetDisplaced(Map<String, Endpoint> changes, double nowMs) {
        Iterator<Map.Entry<String, Double>> oldest = displacedMs.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Double> next = oldest.next();
            if (nowMs - next.getValue() < maxInFlightMs) {
                return;
            }
            oldest.remove();
            published.remove(next.getKey());
            changes.put(next.getKey(), known.get(next.getKey()).withState(Server.State.GONE));
        }
    }
}
