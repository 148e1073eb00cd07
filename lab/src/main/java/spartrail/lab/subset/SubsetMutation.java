package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;
import spartrail.subset.SubsetFilter;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSettings;

/** Mutations that the subset checks must detect: each makes a node's lists as a faulty subset would. */
public enum SubsetMutation {
    NONE("no mutation", node -> node.filter()::toSubset),
    SPARES_FORGOTTEN("no spare replaces a gone server", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> list.isComplete()
                ? filter.toSubset(list, nowMs)
                : filter(
                        filter.toSubset(list, nowMs),
                        endpoint -> endpoint.state() != Server.State.LIVE || isNamed(list, endpoint.id()));
    }),
    ZONE_IGNORED("zones are ignored", node -> {
        SubsetSettings settings = node.shape().settings();
        return new SubsetFilter(
                node.shape().selector(node.number(), new SubsetSettings(settings.replicasPerShard(), 1)),
                FleetShape.MAX_IN_FLIGHT_MS)::toSubset;
    }),
    DRAINING_KEPT("a draining server stays in use", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> {
            List<Endpoint> endpoints = new ArrayList<>();
            for (Endpoint endpoint : filter.toSubset(list, nowMs).endpoints()) {
                boolean drains = endpoint.state() == Server.State.DRAINING && isNamed(list, endpoint.id());
                endpoints.add(drains ? endpoint.withState(Server.State.LIVE) : endpoint);
            }
            return new EndpointList(list.version(), false, endpoints);
        };
    }),
    ORDER_NOT_STABLE("the order depends on the list's version", node -> new ReshufflingFilter(node)::toSubset),
    RAMP_BY_ALL_NODES("slow start counts all nodes for each server", node -> node.filter()::toSubset),
    DISPLACED_AS_GONE("a server that leaves the subset is published as gone at once", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> {
            List<Endpoint> endpoints = new ArrayList<>();
            for (Endpoint endpoint : filter.toSubset(list, nowMs).endpoints()) {
                endpoints.add(
                        endpoint.state() == Server.State.DRAINING && !isNamed(list, endpoint.id())
                                ? endpoint.withState(Server.State.GONE)
                                : endpoint);
            }
            return new EndpointList(list.version(), false, endpoints);
        };
    }),
    WHOLE_LIST_ADDS_ONLY("a complete list removes no server that it omits", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> filter.toSubset(new EndpointList(list.version(), false, list.endpoints()), nowMs);
    });

    /** Makes the lists of one node. */
    interface Lists {
        EndpointList toSubset(EndpointList list, double nowMs);
    }

    /** The node for which lists are made. */
    record Node(FleetShape shape, int number) {
        SubsetFilter filter() {
            return shape.filter(number);
        }
    }

    final String summary;
    private final Function<Node, Lists> factory;

    SubsetMutation(String summary, Function<Node, Lists> factory) {
        this.summary = summary;
        this.factory = factory;
    }

    /** The mistake in words, as tables show it. */
    public String summary() {
        return summary;
    }

    Lists lists(FleetShape shape, int node) {
        return factory.apply(new Node(shape, node));
    }

    /** The number of nodes that share a server as slow start counts them, given the number that the filter counts. */
    int nodesPerServer(FleetShape shape, int counted) {
        return this == RAMP_BY_ALL_NODES ? shape.nodes() : counted;
    }

    private static EndpointList filter(EndpointList list, Predicate<Endpoint> isKept) {
        return new EndpointList(
                list.version(),
                list.isComplete(),
                list.endpoints().stream().filter(isKept).toList());
    }

    private static boolean isNamed(EndpointList list, String id) {
        return list.endpoints().stream().anyMatch(endpoint -> endpoint.id().equals(id));
    }

    /** Selects the whole subset again, in another order, with each version of the list. */
    private static final class ReshufflingFilter {
        private final Node node;
        private final Map<String, Endpoint> all = new LinkedHashMap<>();
        private final Map<String, Endpoint> published = new LinkedHashMap<>();

        ReshufflingFilter(Node node) {
            this.node = node;
        }

        EndpointList toSubset(EndpointList list, double nowMs) {
            if (list.isComplete()) {
                all.clear();
            }
            for (Endpoint endpoint : list.endpoints()) {
                if (endpoint.state() == Server.State.GONE) {
                    all.remove(endpoint.id());
                } else {
                    all.put(endpoint.id(), endpoint);
                }
            }
            FleetShape shape = node.shape();
            var selector = new SubsetSelector(
                    shape.node(node.number()) + list.version(), shape.settings(), shape.shards(), shape.shards(), 1);
            EndpointList fresh = new SubsetFilter(selector, FleetShape.MAX_IN_FLIGHT_MS)
                    .toSubset(new EndpointList(list.version(), true, List.copyOf(all.values())), nowMs);
            List<Endpoint> endpoints = new ArrayList<>(fresh.endpoints());
            published.values().stream()
                    .filter(endpoint -> !isNamed(fresh, endpoint.id()))
                    .forEach(endpoint -> endpoints.add(endpoint.withState(Server.State.GONE)));
            published.clear();
            fresh.endpoints().forEach(endpoint -> published.put(endpoint.id(), endpoint));
            return new EndpointList(list.version(), false, endpoints);
        }
    }
}
