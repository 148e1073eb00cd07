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

/** A run of peers generated from one seed: a number of nodes, a script of faults, and a time to settle. */
public record PeersScenario(long seed, int size, List<Fault> faults) {
    /** Nodes start within the first second. After this time up to 100 of them know each other, and faults begin. */
    private static final double START_UP_MS = 12_000;

    private static final double FAULTS_MS = 30_000;
    private static final double CALM_MS = 5000;
    private static final double ISOLATION_MS = 15_000;

    /** The result of a run. */
    public record Outcome(
            List<PeersRules.Breach> breaches, long hash, long messages, PeersSimulation simulation, double lastedMs) {}

    /** Generates a seed's scenario: 3 to {@code maxSize} nodes, 0 to 6 faults of any kind. */
    public static PeersScenario generate(long seed, int maxSize) {
        return generate(seed, 3, maxSize);
    }

    /** Generates a seed's scenario with at least {@code minSize} nodes. */
    public static PeersScenario generate(long seed, int minSize, int maxSize) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ 0x5DEECE66DL);
        // Small fleets are more likely: they fail in more ways, and a run of them takes less time.
        int size = (int) Math.round(minSize * Math.pow(maxSize / (double) minSize, random.nextDouble()));
        List<Fault> faults = new ArrayList<>();
        double startUpMs = startUpMs(size);
        int count = random.nextInt(7);
        Fault.Kind[] kinds = Fault.Kind.values();
        switch (random.nextInt(20)) {
            case 0 -> {
                // Only single links fail: indirect probes must reach the node behind a failed link.
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
                // One node leaves; there is no other fault.
                return new PeersScenario(
                        seed,
                        size,
                        List.of(new Fault(startUpMs, Fault.Kind.LEAVE, drawNodes(1, size, random), List.of(), 0, 0)));
            }
            case 2 -> {
                // All seed nodes crash, then the fleet is partitioned: only the nodes on the other side of the
                // partition can tell a node that they are there.
                if (size > 6) {
                    faults.add(new Fault(startUpMs, Fault.Kind.CRASH, List.of(0, 1, 2), List.of(), 0, 0));
                    faults.add(new Fault(
                            startUpMs + 3000, Fault.Kind.CUT, drawNodes(size / 2, size, random), List.of(), 20_000, 0));
                    return new PeersScenario(seed, size, List.copyOf(faults));
                }
            }
            case 3 -> {
                // Each node is isolated from all others for a while.
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
        int maxAffected = random.nextInt(4) == 0 ? Math.max(1, size * 7 / 10) : Math.max(1, size / 5);
        List<Integer> nodes = drawNodes(1 + random.nextInt(maxAffected), size, random);
        List<Integer> others = List.of();
        double magnitude = 0;
        switch (kind) {
            case CRASH -> lastsMs = random.nextInt(3) == 0 ? 0 : Math.round(50 + random.nextDouble() * lastsMs);
            case LEAVE -> lastsMs = 0;
            case CUT, ONE_WAY -> others = random.nextBoolean()
                    ? List.of()
                    : drawNodes(1 + random.nextInt(maxAffected), size, random).stream()
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

    /** Returns the time after the last fault within which all views agree again. */
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
            double effectMs = fault.kind() == Fault.Kind.HELD ? fault.size() : fault.lastsMs();
            endMs = Math.max(endMs, fault.atMs() + effectMs);
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
                            "indirect probes reach it",
                            "only single links were cut; running nodes declared gone: "
                                    + simulation.rules().falseRemovals() + ", false suspicions: "
                                    + simulation.rules().falseSuspicionsInFault());
        }
        if (faults.size() == size
                && faults.stream().allMatch(fault -> fault.lastsMs() == ISOLATION_MS)
                && !simulation.rules().falseRemovals().isEmpty()) {
            simulation
                    .rules()
                    .breach(
                            endMs,
                            "isolated, removes nobody",
                            "isolated nodes declared running nodes gone: "
                                    + simulation.rules().falseRemovals());
        }
        if (faults.size() == 1
                && faults.get(0).kind() == Fault.Kind.LEAVE
                && simulation.rules().goneAfterLeaving() > 0) {
            simulation
                    .rules()
                    .breach(
                            endMs,
                            "a leave is announced",
                            "a node declared it gone though it had announced that it leaves");
        }
        return new Outcome(
                List.copyOf(simulation.rules().breaches()), network.hash(), network.messages(), simulation, endMs);
    }

    /** Above 100 nodes, the time until all know each other grows in proportion to their number. */
    private static double startUpMs(int size) {
        return START_UP_MS * Math.max(1, size / 100.0);
    }

    private static boolean isSinglePair(Fault fault) {
        return (fault.kind() == Fault.Kind.CUT || fault.kind() == Fault.Kind.ONE_WAY)
                && fault.nodes().size() == 1
                && fault.others().size() == 1;
    }

    /**
     * Returns the shortest script found that breaks the same rule, by removing faults, then affected nodes, then
     * other nodes.
     */
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
        List<PeersScenario> scenarios = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            List<Fault> remaining = new ArrayList<>(faults);
            Fault fault = remaining.remove(i);
            scenarios.add(new PeersScenario(seed, size, List.copyOf(remaining)));
            if (fault.nodes().size() > 1) {
                remaining.add(
                        i,
                        new Fault(
                                fault.atMs(),
                                fault.kind(),
                                fault.nodes().subList(0, fault.nodes().size() / 2),
                                fault.others(),
                                fault.lastsMs(),
                                fault.size()));
                scenarios.add(new PeersScenario(seed, size, List.copyOf(remaining)));
            }
        }
        int usedNodes = faults.stream()
                        .flatMap(fault ->
                                java.util.stream.Stream.concat(fault.nodes().stream(), fault.others().stream()))
                        .mapToInt(node -> node)
                        .max()
                        .orElse(0)
                + 1;
        for (int smallerSize : new int[] {Math.max(3, usedNodes), (size + Math.max(3, usedNodes)) / 2, size - 1}) {
            if (smallerSize < size && smallerSize >= Math.max(3, usedNodes)) {
                scenarios.add(new PeersScenario(seed, smallerSize, faults));
            }
        }
        return scenarios;
    }

    /** Returns the script in readable form, as {@code nodes replay} prints it. */
    public String script() {
        StringBuilder text = new StringBuilder("seed " + seed + ", " + size + " nodes\n");
        faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
        return String.format(Locale.ROOT, "%s", text);
    }
}
