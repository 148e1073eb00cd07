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

/** Faults that the checks of subsets must catch: each makes a node's lists as a subset with that mistake would. */
public enum SubsetMutation {
    NONE("as it is", node -> node.filter()::own),
    SPARES_FORGOTTEN("no spare follows one that is gone", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> list.all()
                ? filter.own(list, nowMs)
                : only(filter.own(list, nowMs), line -> line.state() != Server.State.LIVE || named(list, line.id()));
    }),
    ZONE_IGNORED("zones do not count", node -> {
        SubsetSettings settings = node.shape().settings();
        return new SubsetFilter(
                node.shape().selector(node.number(), new SubsetSettings(settings.replicasPerShard(), 1)),
                FleetShape.LONGEST_OUT_MS)::own;
    }),
    DRAINING_KEPT("a draining server stays in use", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> {
            List<Endpoint> lines = new ArrayList<>();
            for (Endpoint line : filter.own(list, nowMs).lines()) {
                boolean drains = line.state() == Server.State.DRAINING && named(list, line.id());
                lines.add(drains ? line.with(Server.State.LIVE) : line);
            }
            return new EndpointList(list.version(), false, lines);
        };
    }),
    ORDER_NOT_STABLE("the order depends on the list's version", node -> new ReshufflingFilter(node)::own),
    RAMP_BY_ALL_NODES("the ramp of cold servers is shared by all nodes", node -> node.filter()::own),
    DISPLACED_AS_GONE("a server that leaves the subset is told as gone at once", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> {
            List<Endpoint> lines = new ArrayList<>();
            for (Endpoint line : filter.own(list, nowMs).lines()) {
                lines.add(
                        line.state() == Server.State.DRAINING && !named(list, line.id())
                                ? line.with(Server.State.GONE)
                                : line);
            }
            return new EndpointList(list.version(), false, lines);
        };
    }),
    WHOLE_LIST_ADDS_ONLY("a whole list ends no server that it leaves out", node -> {
        SubsetFilter filter = node.filter();
        return (list, nowMs) -> filter.own(new EndpointList(list.version(), false, list.lines()), nowMs);
    });

    /** Makes the lists of one node. */
    interface Lists {
        EndpointList own(EndpointList list, double nowMs);
    }

    /** The node whose lists are made. */
    record Node(FleetShape shape, int number) {
        SubsetFilter filter() {
            return shape.filter(number);
        }
    }

    final String summary;
    private final Function<Node, Lists> making;

    SubsetMutation(String summary, Function<Node, Lists> making) {
        this.summary = summary;
        this.making = making;
    }

    public String summary() {
        return summary;
    }

    Lists lists(FleetShape shape, int node) {
        return making.apply(new Node(shape, node));
    }

    /** What a node takes as the count of those that share a server. */
    int nodesPerServer(FleetShape shape, int figure) {
        return this == RAMP_BY_ALL_NODES ? shape.nodes() : figure;
    }

    private static EndpointList only(EndpointList list, Predicate<Endpoint> kept) {
        return new EndpointList(
                list.version(), list.all(), list.lines().stream().filter(kept).toList());
    }

    private static boolean named(EndpointList list, String id) {
        return list.lines().stream().anyMatch(line -> line.id().equals(id));
    }

    /** Chooses anew in another order with each version of the list. */
    private static final class ReshufflingFilter {
        private final Node node;
        private final Map<String, Endpoint> all = new LinkedHashMap<>();
        private final Map<String, Endpoint> told = new LinkedHashMap<>();

        ReshufflingFilter(Node node) {
            this.node = node;
        }

        EndpointList own(EndpointList list, double nowMs) {
            if (list.all()) {
                all.clear();
            }
            for (Endpoint line : list.lines()) {
                if (line.state() == Server.State.GONE) {
                    all.remove(line.id());
                } else {
                    all.put(line.id(), line);
                }
            }
            FleetShape shape = node.shape();
            var selector = new SubsetSelector(
                    shape.node(node.number()) + list.version(), shape.settings(), shape.shards(), shape.shards(), 1);
            EndpointList fresh = new SubsetFilter(selector, FleetShape.LONGEST_OUT_MS)
                    .own(new EndpointList(list.version(), true, List.copyOf(all.values())), nowMs);
            List<Endpoint> lines = new ArrayList<>(fresh.lines());
            told.values().stream()
                    .filter(line -> !named(fresh, line.id()))
                    .forEach(line -> lines.add(line.with(Server.State.GONE)));
            told.clear();
            fresh.lines().forEach(line -> told.put(line.id(), line));
            return new EndpointList(list.version(), false, lines);
        }
    }
}
