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

/**
 * A run of nodes that use policy versions, generated from one seed: a number of nodes, a script of faults, and
 * proposals in between.
 *
 * @param incompatibleNode the node that cannot apply every proposal, or -1
 * @param cutAtDecision whether the last node is cut off at the moment of each decision
 */
public record PolicyScenario(long seed, int size, int incompatibleNode, boolean cutAtDecision, List<Fault> faults) {
    private static final double START_UP_MS = 8000;
    private static final double FAULTS_MS = 40_000;
    /** Within this time after the last fault, all earlier proposals have ended; then the last one is proposed. */
    private static final double RECOVERY_MS = 30_000;

    /** Within this time after the last proposal, its version is in use at all nodes. */
    private static final double SETTLING_MS = 25_000;

    private static final int LAST_BUDGET_MS = 1999;
    private static final int MAX_STEP_MS = 30;

    /** The result of a run. */
    public record Outcome(
            List<Breach> breaches, long hash, long messages, int changes, int versions, List<String> log) {}

    /** The totals over many seeds, and the first breach of each seed that broke a rule. */
    public record Result(long messages, long changes, long versions, long hash, Map<Long, Breach> found) {}

    /** Generates a seed's scenario of 3 to {@code maxNodes} nodes. */
    public static PolicyScenario generate(long seed, int maxNodes) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ 0x2545F491L);
        int size = (int) Math.round(3 * Math.pow(maxNodes / 3.0, random.nextDouble()));
        int deciders = size < 5 ? 3 : 3 + 2 * (size % 2);
        List<Fault> faults = new ArrayList<>();
        Fault.Kind[] kinds = Fault.Kind.values();
        for (int i = random.nextInt(9); i > 0; i--) {
            Fault.Kind kind = kinds[random.nextInt(kinds.length)];
            // Half of the faults affect voters only.
            int candidates = random.nextBoolean() ? Math.min(size, deciders) : size;
            List<Integer> nodes = drawNodes(1 + random.nextInt(Math.max(1, candidates / 2)), candidates, random);
            double atMs = START_UP_MS + Math.round(random.nextDouble() * FAULTS_MS);
            double lastsMs = Math.round(200 + random.nextDouble() * 12_000);
            List<Integer> others = List.of();
            double magnitude = 0;
            switch (kind) {
                case LEAVE -> {
                    continue;
                }
                case STALL -> lastsMs *= random.nextInt(3) == 0 ? 4 : 1;
                case CRASH -> lastsMs = Math.round(50 + random.nextDouble() * 8000);
                case CUT, ONE_WAY -> others = random.nextBoolean()
                        ? List.of()
                        : drawNodes(1 + random.nextInt(size), size, random).stream()
                                .filter(other -> !nodes.contains(other))
                                .toList();
                case LOSS -> magnitude = 0.05 + 0.9 * random.nextDouble();
                case DELAY -> magnitude = Math.round(10 + 4000 * random.nextDouble());
                case TWICE -> magnitude = random.nextDouble();
                case HELD -> magnitude = Math.round(lastsMs + random.nextDouble() * 10_000);
                case SLOW -> magnitude = Math.round(1 + MAX_STEP_MS * random.nextDouble());
                case SET_BACK -> {
                    lastsMs = Math.round(50 + random.nextDouble() * 3000);
                    magnitude = Math.round(100 + random.nextDouble() * 100_000);
                }
                case CLOCK -> {
                    // The rate applies from the next start on, so the node is restarted. The stated maximum drift is
                    // 0.02.
                    faults.add(new Fault(atMs + 100, Fault.Kind.CRASH, nodes, List.of(), 300, 0));
                    lastsMs = 0;
                    magnitude = random.nextBoolean() ? 0.9801 : 1.0199;
                }
                default -> {}
            }
            faults.add(new Fault(atMs, kind, nodes, others, lastsMs, magnitude));
        }
        boolean hasClockExtremes = random.nextInt(8) == 0;
        if (hasClockExtremes) {
            // The largest drift allowed: the clock of a lease holder is slow, those of all voters are fast.
            faults.clear();
            List<Integer> all = drawNodes(deciders, deciders, random);
            faults.add(new Fault(0, Fault.Kind.CLOCK, all, List.of(), 0, 1.0199));
            faults.add(new Fault(0, Fault.Kind.CLOCK, List.of(size - 1), List.of(), 0, 0.9801));
        }
        faults.sort(java.util.Comparator.comparingDouble(Fault::atMs));
        return new PolicyScenario(
                seed,
                size,
                !hasClockExtremes && random.nextInt(4) == 0 ? random.nextInt(size) : -1,
                hasClockExtremes && size > deciders,
                List.copyOf(faults));
    }

    private static List<Integer> drawNodes(int count, int size, RandomGenerator random) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(i);
        }
        while (all.size() > Math.min(count, size)) {
            all.remove(random.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    public Outcome play(boolean isLogged) {
        PolicySimulation simulation = new PolicySimulation(size, incompatibleNode);
        if (isLogged) {
            simulation.enableLog();
        }
        SimulatedNetwork<PolicySimulation.Message> network = new SimulatedNetwork<>(size, seed, 4, simulation);
        simulation.attachTo(network);
        if (cutAtDecision) {
            simulation.cutAtDecision(size - 1);
        }
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            network.startAt(node, random.nextDouble() * 1000);
        }
        network.scheduleFaults(faults);
        double endMs = START_UP_MS + FAULTS_MS;
        for (Fault fault : faults) {
            endMs = Math.max(
                    endMs,
                    fault.atMs() + Math.max(fault.lastsMs(), fault.kind() == Fault.Kind.HELD ? fault.size() : 0));
        }
        // Proposals follow one another, some of them at the same time; the last one comes when all faults are over.
        for (double atMs = 4000 + 4000 * random.nextDouble(); atMs < endMs; atMs += 500 + 9000 * random.nextDouble()) {
            int budgetMs = random.nextInt(5) == 0 ? 3000 + random.nextInt(1000) : 1000 + random.nextInt(1400);
            boolean isSentTwice = random.nextInt(4) == 0;
            network.scheduleAfter(atMs, () -> simulation.propose(budgetMs, isSentTwice));
            if (random.nextInt(5) == 0) {
                network.scheduleAfter(atMs + 100 + 4000 * random.nextDouble(), simulation::abort);
            }
        }
        network.scheduleAfter(endMs + RECOVERY_MS, () -> simulation.propose(LAST_BUDGET_MS, false));
        network.runUntil(endMs + RECOVERY_MS + SETTLING_MS);
        simulation.checkSettled(LAST_BUDGET_MS);
        return new Outcome(
                List.copyOf(simulation.breaches()),
                network.hash(),
                network.messages(),
                simulation.changes(),
                simulation.versions(),
                simulation.log());
    }

    /** Runs many seeds in parallel. The hash combines the hash of each run with its seed. */
    public static Result explore(long from, long count, int maxNodes, java.util.function.LongConsumer progress) {
        Map<Long, Breach> found = Collections.synchronizedMap(new TreeMap<>());
        AtomicLong messages = new AtomicLong();
        AtomicLong changes = new AtomicLong();
        AtomicLong versions = new AtomicLong();
        AtomicLong finished = new AtomicLong();
        long hash = LongStream.range(from, from + count)
                .parallel()
                .map(seed -> {
                    Outcome outcome = generate(seed, maxNodes).play(false);
                    messages.addAndGet(outcome.messages());
                    changes.addAndGet(outcome.changes());
                    versions.addAndGet(outcome.versions());
                    if (!outcome.breaches().isEmpty()) {
                        found.put(seed, outcome.breaches().get(0));
                    }
                    progress.accept(finished.incrementAndGet());
                    return outcome.hash() * (2 * seed + 1);
                })
                .sum();
        return new Result(messages.get(), changes.get(), versions.get(), hash, found);
    }

    /**
     * Returns the first seed that breaks a rule, as one tab-separated line, or an empty string. The types are simple
     * because {@link Mutations} calls this method in another class loader.
     */
    public static String firstBreach(long from, long count, int maxNodes) {
        for (long seed = from; seed < from + count; seed++) {
            PolicyScenario scenario = generate(seed, maxNodes);
            List<Breach> breaches = scenario.play(false).breaches();
            if (!breaches.isEmpty()) {
                return seed + "\t" + breaches.get(0).rule() + "\t" + scenario.size();
            }
        }
        return "";
    }

    /**
     * Returns the shortest script found that still breaks the first broken rule; this scenario if it breaks none.
     */
    public PolicyScenario shrink() {
        List<Breach> breaches = play(false).breaches();
        PolicyScenario shortest = this;
        for (int i = 0; !breaches.isEmpty() && i < shortest.faults.size(); ) {
            List<Fault> remaining = new ArrayList<>(shortest.faults);
            remaining.remove(i);
            PolicyScenario next =
                    new PolicyScenario(seed, size, incompatibleNode, cutAtDecision, List.copyOf(remaining));
            if (next.play(false).breaches().stream()
                    .anyMatch(breach -> breach.rule().equals(breaches.get(0).rule()))) {
                shortest = next;
            } else {
                i++;
            }
        }
        return shortest;
    }

    /** Returns the script in readable form. */
    public String script() {
        StringBuilder text = new StringBuilder("seed " + seed + ", " + size + " nodes"
                + (incompatibleNode < 0 ? "" : ", n" + incompatibleNode + " cannot apply every version") + "\n");
        faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
        return text.toString();
    }
}
