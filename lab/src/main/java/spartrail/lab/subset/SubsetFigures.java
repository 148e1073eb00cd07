package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.lab.scale.HollowServers;
import spartrail.model.Server;
import spartrail.subset.SubsetSelector.LiveServer;
import spartrail.subset.SubsetSettings;

/** Measures how evenly each strategy spreads the nodes over the servers, and how many connections a change moves. */
public final class SubsetFigures {
    /** The maximum number of shards on which joins, leaves and replacements are measured. */
    private static final int MAX_CHANGED_SHARDS = 4;

    /**
     * The figures of one strategy in one fleet: nodes per server, connections per node, and moves. Moves are the
     * connections that all nodes together open when one server joins, leaves or is replaced, not counting those to
     * the new server itself.
     */
    public record Row(
            String strategy,
            int least,
            double mean,
            int p99,
            int most,
            double connections,
            int leastZones,
            int emptyShards,
            double movedByJoin,
            double movedByLeave,
            double movedByReplacement) {
        /** The nodes of the most shared server, relative to the mean. */
        public double mostOverMean() {
            return mean == 0 ? 0 : most / mean;
        }
    }

    private SubsetFigures() {}

    /** Measures every strategy on a fleet, given as one shape or as one for each region. */
    public static List<Row> measure(List<FleetShape> regions) {
        return Arrays.stream(SubsetStrategy.values())
                .map(strategy -> measureRow(strategy, regions))
                .toList();
    }

    private static Row measureRow(SubsetStrategy strategy, List<FleetShape> regions) {
        List<Integer> sharing = new ArrayList<>();
        AtomicLong connections = new AtomicLong();
        AtomicInteger leastZones = new AtomicInteger(Integer.MAX_VALUE);
        AtomicInteger emptyShards = new AtomicInteger();
        regions.forEach(shape -> sharing.addAll(countSharing(strategy, shape, connections, leastZones, emptyShards)));
        int nodes = regions.stream().mapToInt(FleetShape::nodes).sum();
        sharing.sort(null);
        double mean = sharing.stream().mapToInt(each -> each).average().orElse(0);
        double[] moves = meanMoves(strategy, regions.get(0));
        return new Row(
                strategy.summary,
                sharing.get(0),
                mean,
                sharing.get((int) (0.99 * (sharing.size() - 1))),
                sharing.get(sharing.size() - 1),
                connections.get() / (double) nodes,
                leastZones.get(),
                emptyShards.get(),
                moves[0],
                moves[1],
                moves[2]);
    }

    private static List<LiveServer> replicas(FleetShape shape, int shard) {
        List<LiveServer> replicas = new ArrayList<>();
        for (int number = shard; number < shape.servers(); number += shape.shards()) {
            Endpoint endpoint = HollowServers.endpoint(
                    shape.region() + "s-" + number, number, shape.shards(), shape.zones(), Server.State.LIVE, 0);
            replicas.add(new LiveServer(endpoint.id(), endpoint.zone(), endpoint.cell(), endpoint.weight()));
        }
        return replicas;
    }

    private static List<Integer> countSharing(
            SubsetStrategy strategy,
            FleetShape shape,
            AtomicLong connections,
            AtomicInteger leastZones,
            AtomicInteger emptyShards) {
        List<Integer> nodesPerServer = new ArrayList<>();
        List<AtomicIntegerArray> counts = IntStream.range(0, shape.shards())
                .parallel()
                .mapToObj(shard -> {
                    List<LiveServer> replicas = replicas(shape, shard);
                    Map<String, Integer> indexById = new HashMap<>();
                    replicas.forEach(server -> indexById.put(server.id(), indexById.size()));
                    AtomicIntegerArray countsOfShard = new AtomicIntegerArray(replicas.size());
                    for (int node = 0; node < shape.nodes(); node++) {
                        List<String> chosen = strategy.choose(node, shape.node(node), replicas, shape.settings());
                        Set<String> zones = new HashSet<>();
                        for (String id : chosen) {
                            countsOfShard.incrementAndGet(indexById.get(id));
                            zones.add(replicas.get(indexById.get(id)).zone());
                        }
                        connections.addAndGet(chosen.size());
                        leastZones.accumulateAndGet(zones.size(), Math::min);
                        emptyShards.addAndGet(chosen.isEmpty() ? 1 : 0);
                    }
                    return countsOfShard;
                })
                .toList();
        for (AtomicIntegerArray countsOfShard : counts) {
            for (int i = 0; i < countsOfShard.length(); i++) {
                nodesPerServer.add(countsOfShard.get(i));
            }
        }
        return nodesPerServer;
    }

    private static double[] meanMoves(SubsetStrategy strategy, FleetShape shape) {
        int shards = Math.min(MAX_CHANGED_SHARDS, shape.shards());
        long[] moved = new long[3];
        for (int shard = 0; shard < shards; shard++) {
            List<LiveServer> before = replicas(shape, shard);
            LiveServer old = before.get(before.size() / 2);
            LiveServer fresh = new LiveServer("new-" + shard, old.zone(), old.cell(), old.weight());
            List<LiveServer> joined = new ArrayList<>(before);
            joined.add(fresh);
            List<LiveServer> left = new ArrayList<>(before);
            left.remove(old);
            List<LiveServer> replaced = new ArrayList<>(left);
            replaced.add(fresh);
            List<List<LiveServer>> changes = List.of(joined, left, replaced);
            for (int i = 0; i < changes.size(); i++) {
                moved[i] += countMoves(strategy, shape, before, changes.get(i), fresh.id());
            }
        }
        return Arrays.stream(moved).mapToDouble(each -> each / (double) shards).toArray();
    }

    private static long countMoves(
            SubsetStrategy strategy, FleetShape shape, List<LiveServer> before, List<LiveServer> after, String fresh) {
        SubsetSettings settings = shape.settings();
        return IntStream.range(0, shape.nodes())
                .parallel()
                .mapToLong(node -> {
                    List<String> chosen = new ArrayList<>(strategy.choose(node, shape.node(node), after, settings));
                    chosen.remove(fresh);
                    return SubsetStrategy.countOpened(
                            strategy.choose(node, shape.node(node), before, settings), chosen);
                })
                .sum();
    }
}
