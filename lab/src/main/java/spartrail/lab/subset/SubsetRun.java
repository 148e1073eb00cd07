package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;

/**
 * Plays a script to all nodes of a fleet, one node at a time on each core, and keeps only which servers each node
 * selects. A tenth of the nodes receives no list for a while and then a complete one.
 */
public final class SubsetRun {
    private static final double LATE_SHARE = 0.1;
    /**
     * The maximum excess of the counted nodes over the mean, in standard deviations. A larger count would slow down
     * the ramp of cold servers needlessly.
     */
    private static final int MAX_DEVIATIONS = 8;

    private static final int COUNT_TOLERANCE_NODES = 12;

    /**
     * The result: a hash over the servers that each node used after each step, and the violations with the first
     * examples.
     */
    public record Outcome(long seed, long hash, int steps, long checks, int violations, List<String> examples) {}

    private final FleetShape shape;
    private final SubsetMutation mutation;
    private final long seed;
    private final List<SubsetScript.Step> steps;
    private final List<List<SubsetCheck.LiveShard>> live = new ArrayList<>();
    private final Map<String, AtomicInteger> sharing = new HashMap<>();
    private final AtomicLong hash = new AtomicLong();
    private final AtomicLong checks = new AtomicLong();
    private final AtomicInteger violations = new AtomicInteger();
    private final List<String> examples = new ArrayList<>();

    private SubsetRun(FleetShape shape, long seed, int changes, SubsetMutation mutation) {
        this.shape = shape;
        this.mutation = mutation;
        this.seed = seed;
        this.steps = SubsetScript.generate(shape, seed, changes);
        steps.forEach(step -> live.add(SubsetCheck.liveByShard(shape, step.after())));
        steps.get(steps.size() - 1).after().keySet().forEach(id -> sharing.put(id, new AtomicInteger()));
    }

    /** Plays the seed's script to every node, with this mutation in all of them. */
    public static Outcome play(FleetShape shape, long seed, int changes, SubsetMutation mutation) {
        SubsetRun run = new SubsetRun(shape, seed, changes, mutation);
        IntStream.range(0, shape.nodes()).parallel().forEach(run::playNode);
        run.checkSharing();
        return new Outcome(
                seed, run.hash.get(), run.steps.size(), run.checks.get(), run.violations.get(), run.examples);
    }

    private void playNode(int number) {
        SplittableRandom random = new SplittableRandom(seed * 31 + number);
        boolean isLate = random.nextDouble() < LATE_SHARE;
        int lateFromStep = 1 + random.nextInt(steps.size() - 1);
        int lateToStep = isLate ? lateFromStep + random.nextInt(steps.size() - lateFromStep) : -1;
        SubsetMutation.Lists lists = mutation.lists(shape, number);
        SubsetReader reader = new SubsetReader(shape.shards());
        SubsetCheck check = new SubsetCheck(shape);
        long nodeHash = 17;
        for (int i = 0; i < steps.size(); i++) {
            SubsetScript.Step step = steps.get(i);
            if (isLate && i >= lateFromStep && i < lateToStep) {
                continue;
            }
            boolean isCatchingUp = isLate && i == lateToStep;
            EndpointList list = isCatchingUp
                    ? new EndpointList(
                            step.change().version(),
                            true,
                            List.copyOf(step.after().values()))
                    : step.change();
            EndpointList own = lists.toSubset(list, step.atMs());
            check.checkDraining(step.description(), own, usedAmong(reader, own), step.after());
            check.checkMoves(step.description(), list, reader.apply(own));
            check.checkSelection(step.description(), reader, live.get(i));
            checks.addAndGet(shape.shards());
            nodeHash = nodeHash * 1_000_003 + hashOf(reader);
        }
        hash.addAndGet(nodeHash * (2L * number + 1));
        for (int shard = 0; shard < shape.shards(); shard++) {
            reader.liveServers(shard)
                    .forEach(id -> sharing.getOrDefault(id, new AtomicInteger()).incrementAndGet());
        }
        if (!check.violations().isEmpty()) {
            recordViolation(
                    check.violations().size(),
                    "node " + number + ": " + check.examples().get(0));
        }
    }

    private static Set<String> usedAmong(SubsetReader reader, EndpointList own) {
        Set<String> used = new HashSet<>();
        for (Endpoint endpoint : own.endpoints()) {
            if (reader.liveServers(endpoint.cell()).contains(endpoint.id())) {
                used.add(endpoint.id());
            }
        }
        return used;
    }

    private long hashOf(SubsetReader reader) {
        long sum = 0;
        for (int shard = 0; shard < shape.shards(); shard++) {
            for (String id : reader.liveServers(shard)) {
                sum += (id.hashCode() + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
            }
        }
        return sum;
    }

    private synchronized void recordViolation(int count, String example) {
        violations.addAndGet(count);
        if (examples.size() < 3) {
            examples.add(example);
        }
    }

    /** Checks rule 6: slow start counts at least the nodes that share a server, and not many more than there can be. */
    private void checkSharing() {
        var filter = shape.filter(0);
        SubsetScript.Step last = steps.get(steps.size() - 1);
        filter.toSubset(new EndpointList(1, true, List.copyOf(last.after().values())), 0);
        int counted = mutation.nodesPerServer(shape, filter.nodesPerServer(shape.nodes()));
        int mostNodes =
                sharing.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
        if (mostNodes > counted) {
            recordViolation(1, "6: " + mostNodes + " nodes share a server, but slow start counts " + counted);
        }
        int fewestReplicas = live.get(live.size() - 1).stream()
                .mapToInt(shard -> shard.zones().size())
                .filter(size -> size > 0)
                .min()
                .orElse(1);
        double mean = shape.nodes() * Math.min(1, shape.settings().replicasPerShard() / (double) fewestReplicas);
        if (counted > Math.min(shape.nodes(), mean + MAX_DEVIATIONS * Math.sqrt(mean) + COUNT_TOLERANCE_NODES)
                && counted > mean) {
            recordViolation(
                    1,
                    "6: slow start counts " + counted + " nodes for a server, but " + Math.round(mean)
                            + " share one on average");
        }
    }
}
