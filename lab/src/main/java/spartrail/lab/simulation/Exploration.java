package spartrail.lab.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import spartrail.lab.rules.PeersRules;
import spartrail.peers.GossipTimings;

/** Runs the peers scenarios of many seeds in parallel. */
public final class Exploration {
    /** A seed whose run broke a rule, with the first breach. */
    public record FailingSeed(long seed, int size, PeersRules.Breach first) {}

    /** The totals over all seeds, and the seeds that broke a rule. */
    public record Result(long seeds, long messages, long hash, long changes, Map<Long, FailingSeed> found) {}

    private Exploration() {}

    /**
     * Runs {@code count} seeds, each with {@code least} to {@code most} nodes. The hash combines the hash of each run
     * with its seed, so it does not depend on the order in which the runs finish.
     */
    public static Result explore(long from, long count, int least, int most, LongConsumer progress) {
        Map<Long, FailingSeed> found = Collections.synchronizedMap(new TreeMap<>());
        AtomicLong messages = new AtomicLong();
        AtomicLong changes = new AtomicLong();
        AtomicLong finished = new AtomicLong();
        long hash = LongStream.range(from, from + count)
                .parallel()
                .map(seed -> {
                    PeersScenario scenario = PeersScenario.generate(seed, least, most);
                    PeersScenario.Outcome outcome = scenario.play(GossipTimings.DEFAULT, false);
                    messages.addAndGet(outcome.messages());
                    changes.addAndGet(outcome.simulation().rules().judgedChanges());
                    if (!outcome.breaches().isEmpty()) {
                        found.put(
                                seed,
                                new FailingSeed(
                                        seed,
                                        scenario.size(),
                                        outcome.breaches().get(0)));
                    }
                    progress.accept(finished.incrementAndGet());
                    return outcome.hash() * (2 * seed + 1);
                })
                .sum();
        return new Result(count, messages.get(), hash, changes.get(), found);
    }

    /**
     * Returns the first seed that breaks a rule, as one tab-separated line, or an empty string. The types are simple
     * because {@link Mutations} calls this method in another class loader.
     */
    public static String firstBreach(long from, long count, int most) {
        for (long seed = from; seed < from + count; seed++) {
            PeersScenario scenario = PeersScenario.generate(seed, most);
            List<PeersRules.Breach> breaches =
                    scenario.play(GossipTimings.DEFAULT, false).breaches();
            if (!breaches.isEmpty()) {
                return seed + "\t" + breaches.get(0).rule() + "\t" + scenario.size();
            }
        }
        return "";
    }

    /**
     * Returns the shortest script found that still breaks the seed's first broken rule; the whole scenario if it
     * breaks none.
     */
    public static PeersScenario shrink(long seed, int least, int most) {
        PeersScenario scenario = PeersScenario.generate(seed, least, most);
        List<PeersRules.Breach> breaches =
                new ArrayList<>(scenario.play(GossipTimings.DEFAULT, false).breaches());
        return breaches.isEmpty()
                ? scenario
                : scenario.shrink(GossipTimings.DEFAULT, breaches.get(0).rule(), UnaryOperator.identity());
    }
}
