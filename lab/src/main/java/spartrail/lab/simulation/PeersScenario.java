package spartrail.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import spartrail.lab.rules.PeersRules;
import spartrail.peers.GossipTimings;
import spartrail.peers.PeerMessage;

/** One seed: so many nodes, a script of faults, a time to settle; what did not hold, and the shortest script that shows it. */
public record PeersScenario(long seed, int size, List<Fault> faults) {
    /** Nodes start within the first second; up to a hundred know each other after this, when faults begin. */
    private static final double START_UP_MS = 12_000;

    private static final double FAULTS_MS = 30_000;
    private static final double CALM_MS = 5000;
    private static final double ISOLATION_MS = 15_000;

    /** How a trial went. */
    public record Outcome(
            List<PeersRules.Breach> breaches, long hash, long messages, PeersSimulation simulation, double lastedMs) {}

    /** What a seed stands for: 3 to {@code most} nodes, none to six faults of any kind. */
    public static PeersScenario generate(long seed, int most) {
        return generate(seed, 3, most);
    }

    /** The same with so many nodes at the least. */
    public static PeersScenario generate(long seed, int least, int most) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ 0x5DEECE66DL);
        // Small fleets are drawn more often: they fail in more ways, and a seed of them takes less time.
        int size = (int) Math.round(least * Math.pow(most / (double) least, random.nextDouble()));
        List<Fault> faults = new ArrayList<>();
        double startUpMs = startUpMs(size);
        int count = random.nextInt(7);
        Fault.Kind[] kinds = Fault.Kind.values();
        switch (random.nextInt(20)) {
            case 0 -> {
                // Single links only: helpers must find whoever is behind one.
                for (int i = 0; i < 2 && size > 4; i++) {
                    List<Integer> pair = drawNodes(2, size, random);
                    faults.add(new Fault(
                            startUpMs + 1000 * i,
                            i == 0 ? Fault.Kind.CUT : Fault.Kind.ONE_WAY,
                            pair.subList(0, 1),
                            pair.subList(1, 2),
                            8000,
                            0));
                }
                return new PeersScenario(seed, size, List.copyOf(faults));
            }
            case 1 -> {
                // One leaves, and that is all.
                return new PeersScenario(
                        seed,
                        size,
                        List.of(new Fault(startUpMs, Fault.Kind.LEAVE, drawNodes(1, size, random), List.of(), 0, 0)));
            }
            case 2 -> {
                // All seeds are over, and then the fleet is cut in two: nobody but those behind the cut can tell of
                // them.
                if (size > 6) {
                    faults.add(new Fault(startUpMs, Fault.Kind.CRASH, List.of(0, 1, 2), List.of(), 0, 0));
                    faults.add(new Fault(
                            startUpMs + 3000, Fault.Kind.CUT, drawNodes(size / 2, size, random), List.of(), 20_000, 0));
                    return new PeersScenario(seed, size, List.copyOf(faults));
                }
            }
            case 3 -> {
                // Each node is all alone for a while.
                if (size > 3) {
                    for (int node = 0; node < size; node++) {
                        faults.add(new Fault(startUpMs, Fault.Kind.ONE_WAY, List.of(node), List.of(), ISOLATION_MS, 0));
                    }
                    return new PeersScenario(seed, size, List.copyOf(faults));
                }
            }
            default -> {}
        }
        for (int i = 0; i < count; i++) {
            faults.add(drawFault(kinds[random.nextInt(kinds.length)], size, startUpMs, random));
        }
        faults.sort(java.util.Comparator.comparingDouble(Fault::atMs));
        return new PeersScenario(seed, size, List.copyOf(faults));
    }

    private static Fault drawFault(Fault.Kind kind, int size, double startUpMs, RandomGenerator random) {
        double atMs = startUpMs + Math.round(random.nextDouble() * FAULTS_MS / 2);
        double lastsMs = Math.round(100 + random.nextDouble() * FAULTS_MS / 2);
        int most = random.nextInt(4) == 0 ? Math.max(1, size * 7 / 10) : Math.max(1, size / 5);
        List<Integer> nodes = drawNodes(1 + random.nextInt(most), size, random);
        List<Integer> others = List.of();
        double magnitude = 0;
        switch (kind) {
            case CRASH -> lastsMs = random.nextInt(3) == 0 ? 0 : Math.round(50 + random.nextDouble() * lastsMs);
            case LEAVE -> lastsMs = 0;
            case CUT, ONE_WAY -> others = random.nextBoolean()
                    ? List.of()
                    : drawNodes(1 + random.nextInt(most), size, random).stream()
                            .filter(other -> !nodes.contains(other))
                            .toList();
            case LOSS -> magnitude = 0.05 + 0.9 * random.nextDouble();
            case DELAY -> magnitude = Math.round(10 + 1000 * random.nextDouble());
            case TWICE -> magnitude = random.nextDouble();
            case HELD -> {
                lastsMs = Math.min(lastsMs, 3000);
                magnitude = Math.round(
                        lastsMs + random.nextDouble() * (random.nextInt(50) == 0 && size < 10 ? 3_600_000 : 15_000));
            }
            case SLOW -> magnitude = Math.round(1 + 30 * random.nextDouble());
            case SET_BACK -> {
                lastsMs = Math.round(50 + random.nextDouble() * 3000);
                magnitude = Math.round(100 + random.nextDouble() * 100_000);
            }
            case CLOCK -> {
                lastsMs = 0;
                magnitude = 0.98 + 0.04 * random.nextDouble();
            }
            default -> {}
        }
        return new Fault(atMs, kind, nodes, others, lastsMs, magnitude);
    }

    private static List<Integer> drawNodes(int count, int size, RandomGenerator random) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(i);
        }
        while (all.size() > count) {
            all.remove(random.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    /** In so much time after the last fault all views are the same again. */
    public static double settlingTimeMs(int size, GossipTimings timings) {
        return timings.probeIntervalMs() * (40 + 12 * Math.log(size) / Math.log(2)) + 6 * timings.minSuspicionMs(size);
    }

    public Outcome play(GossipTimings timings, boolean isLogged) {
        return play(timings, isLogged, UnaryOperator.identity());
    }

    public Outcome play(GossipTimings timings, boolean isLogged, UnaryOperator<PeerMessage> mutation) {
        PeersSimulation simulation = new PeersSimulation(size, timings, mutation);
        if (isLogged) {
            simulation.enableLog();
        }
        SimulatedNetwork<PeerMessage> network = new SimulatedNetwork<>(size, seed, 4, simulation);
        simulation.attachTo(network);
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            network.startAt(node, random.nextDouble() * 1000);
        }
        network.scheduleFaults(faults);
        double endMs = startUpMs(size);
        for (Fault fault : faults) {
            double lateMs = fault.kind() == Fault.Kind.HELD ? fault.size() : fault.lastsMs();
            endMs = Math.max(endMs, fault.atMs() + lateMs);
        }
        if (!faults.isEmpty()) {
            network.runUntil(startUpMs(size) - 1);
            simulation.checkSettled();
        }
        endMs += settlingTimeMs(size, timings);
        network.runUntil(endMs);
        simulation.checkSettled();
        simulation.startCalm();
        network.runUntil(endMs + CALM_MS);
        simulation.checkCalm(CALM_MS);
        if (faults.stream().allMatch(PeersScenario::isSinglePair)
                && (!simulation.rules().falseRemovals().isEmpty()
                        || simulation.rules().falseSuspicionsInFault() > 0)) {
            simulation
                    .rules()
                    .breach(
                            endMs,
                            "helpers find it",
                            "suspected or held for gone though only single links were cut: "
                                    + simulation.rules().falseRemovals() + ", suspicions "
                                    + simulation.rules().falseSuspicionsInFault());
        }
        if (faults.size() == size
                && faults.stream().allMatch(fault -> fault.lastsMs() == ISOLATION_MS)
                && !simulation.rules().falseRemovals().isEmpty()) {
            simulation
                    .rules()
                    .breach(
                            endMs,
                            "alone it ends nobody",
                            "nodes all alone held for gone "
                                    + simulation.rules().falseRemovals());
        }
        if (faults.size() == 1
                && faults.get(0).kind() == Fault.Kind.LEAVE
                && simulation.rules().goneAfterLeaving() > 0) {
            simulation.rules().breach(endMs, "leaving is told", "held for gone, and it had said that it leaves");
        }
        return new Outcome(
                List.copyOf(simulation.rules().breaches()), network.hash(), network.messages(), simulation, endMs);
    }

    /** Hundreds that start at once know each other later, in proportion. */
    private static double startUpMs(int size) {
        return START_UP_MS * Math.max(1, size / 100.0);
    }

    private static boolean isSinglePair(Fault fault) {
        return (fault.kind() == Fault.Kind.CUT || fault.kind() == Fault.Kind.ONE_WAY)
                && fault.nodes().size() == 1
                && fault.others().size() == 1;
    }

    /** The shortest script found that still breaks the same rule: faults left out, then shortened, then fewer nodes. */
    public PeersScenario shrink(GossipTimings timings, String rule, UnaryOperator<PeerMessage> mutation) {
        PeersScenario shortest = this;
        boolean isShortened = true;
        while (isShortened) {
            isShortened = false;
            for (PeersScenario next : shortest.simplerScenarios()) {
                if (next.play(timings, false, mutation).breaches().stream()
                        .anyMatch(breach -> breach.rule().equals(rule))) {
                    shortest = next;
                    isShortened = true;
                    break;
                }
            }
        }
        return shortest;
    }

    private List<PeersScenario> simplerScenarios() {
        List<PeersScenario> simpler = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            List<Fault> fewer = new ArrayList<>(faults);
            Fault fault = fewer.remove(i);
            simpler.add(new PeersScenario(seed, size, List.copyOf(fewer)));
            if (fault.nodes().size() > 1) {
                fewer.add(
                        i,
                        new Fault(
                                fault.atMs(),
                                fault.kind(),
                                fault.nodes().subList(0, fault.nodes().size() / 2),
                                fault.others(),
                                fault.lastsMs(),
                                fault.size()));
                simpler.add(new PeersScenario(seed, size, List.copyOf(fewer)));
            }
        }
        int most = faults.stream()
                        .flatMap(fault ->
                                java.util.stream.Stream.concat(fault.nodes().stream(), fault.others().stream()))
                        .mapToInt(node -> node)
                        .max()
                        .orElse(0)
                + 1;
        for (int fewer : new int[] {Math.max(3, most), (size + Math.max(3, most)) / 2, size - 1}) {
            if (fewer < size && fewer >= Math.max(3, most)) {
                simpler.add(new PeersScenario(seed, fewer, faults));
            }
        }
        return simpler;
    }

    /** As a person reads it, and as {@code nodes replay} takes it. */
    public String script() {
        StringBuilder text = new StringBuilder("seed " + seed + ", " + size + " nodes\n");
        faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
        return String.format(Locale.ROOT, "%s", text);
    }
}
