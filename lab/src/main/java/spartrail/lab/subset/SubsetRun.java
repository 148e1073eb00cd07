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
 * A fleet's nodes through one script, one node after the other on each core; only what a node chose is kept of it. A tenth of the
 * nodes hears of nothing for a while and is then told the whole list.
 */
public final class SubsetRun {
    private static final double LATE_SHARE = 0.1;
    /** A figure for the ramp so far above the mean slows cold servers down for nothing. */
    private static final int MANY_DEVIATIONS = 8;

    private static final int SLACK = 12;

    /** What was found: a hash of all that every node was told, and broken promises with the first few of each. */
    public record Outcome(long seed, long hash, int steps, long checks, int breaches, List<String> examples) {}

    private final FleetShape shape;
    private final SubsetMutation fault;
    private final long seed;
    private final List<SubsetScript.Step> steps;
    private final List<List<SubsetCheck.LiveShard>> live = new ArrayList<>();
    private final Map<String, AtomicInteger> sharing = new HashMap<>();
    private final AtomicLong hash = new AtomicLong();
    private final AtomicLong checks = new AtomicLong();
    private final AtomicInteger breaches = new AtomicInteger();
    private final List<String> examples = new ArrayList<>();

    private SubsetRun(FleetShape shape, long seed, int changes, SubsetMutation fault) {
        this.shape = shape;
        this.fault = fault;
        this.seed = seed;
        this.steps = SubsetScript.of(shape, seed, changes);
        steps.forEach(step -> live.add(SubsetCheck.liveByShard(shape, step.after())));
        steps.get(steps.size() - 1).after().keySet().forEach(id -> sharing.put(id, new AtomicInteger()));
    }

    /** Plays the script to every node, with this fault in all of them. */
    public static Outcome play(FleetShape shape, long seed, int changes, SubsetMutation fault) {
        SubsetRun run = new SubsetRun(shape, seed, changes, fault);
        IntStream.range(0, shape.nodes()).parallel().forEach(run::node);
        run.checkSharing();
        return new Outcome(seed, run.hash.get(), run.steps.size(), run.checks.get(), run.breaches.get(), run.examples);
    }

    private void node(int number) {
        SplittableRandom random = new SplittableRandom(seed * 31 + number);
        boolean late = random.nextDouble() < LATE_SHARE;
        int lateFrom = 1 + random.nextInt(steps.size() - 1);
        int lateTo = late ? lateFrom + random.nextInt(steps.size() - lateFrom) : -1;
        SubsetMutation.Lists lists = fault.lists(shape, number);
        SubsetReader reader = new SubsetReader(shape.shards());
        SubsetCheck check = new SubsetCheck(shape);
        long told = 17;
        for (int i = 0; i < steps.size(); i++) {
            SubsetScript.Step step = steps.get(i);
            if (late && i >= lateFrom && i < lateTo) {
                continue;
            }
            boolean catchesUp = late && i == lateTo;
            EndpointList list = catchesUp
                    ? new EndpointList(
                            step.change().version(),
                            true,
                            List.copyOf(step.after().values()))
                    : step.change();
            EndpointList own = lists.own(list, step.atMs());
            check.leaving(step.what(), own, usedAmong(reader, own), step.after());
            check.moved(step.what(), list, reader.take(own));
            check.standing(step.what(), reader, live.get(i));
            checks.addAndGet(shape.shards());
            told = told * 1_000_003 + hashOf(reader);
        }
        hash.addAndGet(told * (2L * number + 1));
        for (int shard = 0; shard < shape.shards(); shard++) {
            reader.live(shard)
                    .forEach(id -> sharing.getOrDefault(id, new AtomicInteger()).incrementAndGet());
        }
        if (!check.breaches().isEmpty()) {
            note(
                    check.breaches().size(),
                    "node " + number + ": " + check.examples().get(0));
        }
    }

    private static Set<String> usedAmong(SubsetReader reader, EndpointList own) {
        Set<String> used = new HashSet<>();
        for (Endpoint line : own.lines()) {
            if (reader.live(line.cell()).contains(line.id())) {
                used.add(line.id());
            }
        }
        return used;
    }

    private long hashOf(SubsetReader reader) {
        long sum = 0;
        for (int shard = 0; shard < shape.shards(); shard++) {
            for (String id : reader.live(shard)) {
                sum += (id.hashCode() + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
            }
        }
        return sum;
    }

    private synchronized void note(int count, String example) {
        breaches.addAndGet(count);
        if (examples.size() < 3) {
            examples.add(example);
        }
    }

    /** 6: no server is shared by more nodes than the figure for the ramp, nor is the figure far above what there can be. */
    private void checkSharing() {
        var filter = shape.filter(0);
        SubsetScript.Step last = steps.get(steps.size() - 1);
        filter.own(new EndpointList(1, true, List.copyOf(last.after().values())), 0);
        int figure = fault.nodesPerServer(shape, filter.nodesPerServer(shape.nodes()));
        int most = sharing.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
        if (most > figure) {
            note(1, "6: " + most + " nodes share a server, the ramp counts " + figure);
        }
        int fewest = live.get(live.size() - 1).stream()
                .mapToInt(shard -> shard.zones().size())
                .filter(size -> size > 0)
                .min()
                .orElse(1);
        double mean = shape.nodes() * Math.min(1, shape.settings().replicasPerShard() / (double) fewest);
        if (figure > Math.min(shape.nodes(), mean + MANY_DEVIATIONS * Math.sqrt(mean) + SLACK) && figure > mean) {
            note(1, "6: the ramp counts " + figure + " nodes where " + Math.round(mean) + " share a server on average");
        }
    }
}
