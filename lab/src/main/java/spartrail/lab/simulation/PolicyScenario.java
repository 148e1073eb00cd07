package spartrail.lab.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.LongStream;
import spartrail.lab.rules.PeersRules.Breach;

/** One seed of nodes that go by versions of policy: so many of them, a script of faults, proposals in between. */
public record PolicyScenario(long seed, int size, int unfit, boolean edge, List<Fault> faults) {
    private static final double QUIET_MS = 8000;
    private static final double FAULTS_MS = 40_000;
    /** What was proposed meanwhile has ended so long after the last fault; and one that is proposed then so much later. */
    private static final double CALM_MS = 30_000;

    private static final double SETTLES_MS = 25_000;
    private static final int LAST_BUDGET_MS = 1999;
    private static final int FAULT_SIZE_MOST = 30;

    /** How a trial went. */
    public record Outcome(
            List<Breach> breaches, long hash, long messages, int changes, int versions, List<String> log) {}

    /** What came of many seeds. */
    public record Result(long messages, long changes, long versions, long hash, Map<Long, Breach> found) {}

    /** What a seed stands for. */
    public static PolicyScenario generate(long seed, int most) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ 0x2545F491L);
        int size = (int) Math.round(3 * Math.pow(most / 3.0, chance.nextDouble()));
        int deciders = size < 5 ? 3 : 3 + 2 * (size % 2);
        List<Fault> faults = new ArrayList<>();
        Fault.Kind[] kinds = Fault.Kind.values();
        for (int i = chance.nextInt(9); i > 0; i--) {
            Fault.Kind kind = kinds[chance.nextInt(kinds.length)];
            // Those that decide are met as often as all others together.
            int among = chance.nextBoolean() ? Math.min(size, deciders) : size;
            List<Integer> nodes = some(1 + chance.nextInt(Math.max(1, among / 2)), among, chance);
            double atMs = QUIET_MS + Math.round(chance.nextDouble() * FAULTS_MS);
            double lastsMs = Math.round(200 + chance.nextDouble() * 12_000);
            List<Integer> others = List.of();
            double number = 0;
            switch (kind) {
                case LEAVE -> {
                    continue;
                }
                case STALL -> lastsMs *= chance.nextInt(3) == 0 ? 4 : 1;
                case CRASH -> lastsMs = Math.round(50 + chance.nextDouble() * 8000);
                case CUT, ONE_WAY -> others = chance.nextBoolean()
                        ? List.of()
                        : some(1 + chance.nextInt(size), size, chance).stream()
                                .filter(other -> !nodes.contains(other))
                                .toList();
                case LOSS -> number = 0.05 + 0.9 * chance.nextDouble();
                case DELAY -> number = Math.round(10 + 4000 * chance.nextDouble());
                case TWICE -> number = chance.nextDouble();
                case HELD -> number = Math.round(lastsMs + chance.nextDouble() * 10_000);
                case SLOW -> number = Math.round(1 + FAULT_SIZE_MOST * chance.nextDouble());
                case SET_BACK -> {
                    lastsMs = Math.round(50 + chance.nextDouble() * 3000);
                    number = Math.round(100 + chance.nextDouble() * 100_000);
                }
                case CLOCK -> {
                    // From the next start on; drift is stated as 0.02.
                    faults.add(new Fault(atMs + 100, Fault.Kind.CRASH, nodes, List.of(), 300, 0));
                    lastsMs = 0;
                    number = chance.nextBoolean() ? 0.9801 : 1.0199;
                }
                default -> {}
            }
            faults.add(new Fault(atMs, kind, nodes, others, lastsMs, number));
        }
        boolean edge = chance.nextInt(8) == 0;
        if (edge) {
            // Clocks as wrong as they may be: a holder's slow, those of all that decide fast.
            faults.clear();
            List<Integer> all = some(deciders, deciders, chance);
            faults.add(new Fault(0, Fault.Kind.CLOCK, all, List.of(), 0, 1.0199));
            faults.add(new Fault(0, Fault.Kind.CLOCK, List.of(size - 1), List.of(), 0, 0.9801));
        }
        faults.sort(java.util.Comparator.comparingDouble(Fault::atMs));
        return new PolicyScenario(
                seed,
                size,
                !edge && chance.nextInt(4) == 0 ? chance.nextInt(size) : -1,
                edge && size > deciders,
                List.copyOf(faults));
    }

    private static List<Integer> some(int count, int size, RandomGenerator chance) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(i);
        }
        while (all.size() > Math.min(count, size)) {
            all.remove(chance.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    public Outcome play(boolean logs) {
        PolicySimulation scene = new PolicySimulation(size, unfit);
        if (logs) {
            scene.keepLog();
        }
        SimulatedNetwork<PolicySimulation.Message> world = new SimulatedNetwork<>(size, seed, 4, scene);
        scene.in(world);
        if (edge) {
            scene.cutAtDecision(size - 1);
        }
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            world.start(node, chance.nextDouble() * 1000);
        }
        world.script(faults);
        double endMs = QUIET_MS + FAULTS_MS;
        for (Fault fault : faults) {
            endMs = Math.max(
                    endMs,
                    fault.atMs() + Math.max(fault.lastsMs(), fault.kind() == Fault.Kind.HELD ? fault.size() : 0));
        }
        // One change after the other, and some at the same time; the last of them when all is well again.
        for (double atMs = 4000 + 4000 * chance.nextDouble(); atMs < endMs; atMs += 500 + 9000 * chance.nextDouble()) {
            int budgetMs = chance.nextInt(5) == 0 ? 3000 + chance.nextInt(1000) : 1000 + chance.nextInt(1400);
            boolean twice = chance.nextInt(4) == 0;
            world.later(atMs, () -> scene.propose(budgetMs, twice));
            if (chance.nextInt(5) == 0) {
                world.later(atMs + 100 + 4000 * chance.nextDouble(), scene::abort);
            }
        }
        world.later(endMs + CALM_MS, () -> scene.propose(LAST_BUDGET_MS, false));
        world.run(endMs + CALM_MS + SETTLES_MS);
        scene.settled(LAST_BUDGET_MS);
        return new Outcome(
                List.copyOf(scene.breaches()),
                world.hash(),
                world.messages(),
                scene.changes(),
                scene.versions(),
                scene.log());
    }

    /** Plays many seeds, side by side. */
    public static Result explore(long from, long count, int most, java.util.function.LongConsumer done) {
        Map<Long, Breach> found = Collections.synchronizedMap(new TreeMap<>());
        AtomicLong messages = new AtomicLong();
        AtomicLong changes = new AtomicLong();
        AtomicLong versions = new AtomicLong();
        AtomicLong played = new AtomicLong();
        long hash = LongStream.range(from, from + count)
                .parallel()
                .map(seed -> {
                    Outcome outcome = generate(seed, most).play(false);
                    messages.addAndGet(outcome.messages());
                    changes.addAndGet(outcome.changes());
                    versions.addAndGet(outcome.versions());
                    if (!outcome.breaches().isEmpty()) {
                        found.put(seed, outcome.breaches().get(0));
                    }
                    done.accept(played.incrementAndGet());
                    return outcome.hash() * (2 * seed + 1);
                })
                .sum();
        return new Result(messages.get(), changes.get(), versions.get(), hash, found);
    }

    /** The first seed of these that breaks anything, as one line; empty where none does. For plants in another loader. */
    public static String firstBreach(long from, long count, int most) {
        for (long seed = from; seed < from + count; seed++) {
            PolicyScenario trial = generate(seed, most);
            List<Breach> breaches = trial.play(false).breaches();
            if (!breaches.isEmpty()) {
                return seed + "\t" + breaches.get(0).rule() + "\t" + trial.size();
            }
        }
        return "";
    }

    /** The shortest script found that still breaks the rule which the whole one broke first; the trial itself where it breaks none. */
    public PolicyScenario shrink() {
        List<Breach> breaches = play(false).breaches();
        PolicyScenario least = this;
        for (int i = 0; !breaches.isEmpty() && i < least.faults.size(); ) {
            List<Fault> fewer = new ArrayList<>(least.faults);
            fewer.remove(i);
            PolicyScenario next = new PolicyScenario(seed, size, unfit, edge, List.copyOf(fewer));
            if (next.play(false).breaches().stream()
                    .anyMatch(breach -> breach.rule().equals(breaches.get(0).rule()))) {
                least = next;
            } else {
                i++;
            }
        }
        return least;
    }

    /** As a person reads it. */
    public String script() {
        StringBuilder text = new StringBuilder("seed " + seed + ", " + size + " nodes"
                + (unfit < 0 ? "" : ", n" + unfit + " cannot apply every version") + "\n");
        faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
        return text.toString();
    }
}
