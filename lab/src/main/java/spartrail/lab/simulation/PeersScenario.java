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
    private static final double QUIET_MS = 12_000;

    private static final double FAULTS_MS = 30_000;
    private static final double CALM_MS = 5000;
    private static final double ALONE_MS = 15_000;

    /** How a trial went. */
    public record Outcome(
            List<PeersRules.Breach> breaches, long hash, long messages, PeersSimulation scene, double lastedMs) {}

    /** What a seed stands for: 3 to {@code most} nodes, none to six faults of any kind. */
    public static PeersScenario generate(long seed, int most) {
        return generate(seed, 3, most);
    }

    /** The same with so many nodes at the least. */
    public static PeersScenario generate(long seed, int least, int most) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ 0x5DEECE66DL);
        // Small fleets are drawn more often: they fail in more ways, and a seed of them takes less time.
        int size = (int) Math.round(least * Math.pow(most / (double) least, chance.nextDouble()));
        List<Fault> faults = new ArrayList<>();
        double quietMs = quietMs(size);
        int count = chance.nextInt(7);
        Fault.Kind[] kinds = Fault.Kind.values();
        switch (chance.nextInt(20)) {
            case 0 -> {
                // Single links only: helpers must find whoever is behind one.
                for (int i = 0; i < 2 && size > 4; i++) {
                    List<Integer> pair = some(2, size, chance);
                    faults.add(new Fault(
                            quietMs + 1000 * i,
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
                        List.of(new Fault(quietMs, Fault.Kind.LEAVE, some(1, size, chance), List.of(), 0, 0)));
            }
            case 2 -> {
                // All seeds are over, and then the fleet is cut in two: nobody but those behind the cut can tell of
                // them.
                if (size > 6) {
                    faults.add(new Fault(quietMs, Fault.Kind.CRASH, List.of(0, 1, 2), List.of(), 0, 0));
                    faults.add(new Fault(
                            quietMs + 3000, Fault.Kind.CUT, some(size / 2, size, chance), List.of(), 20_000, 0));
                    return new PeersScenario(seed, size, List.copyOf(faults));
                }
            }
            case 3 -> {
                // Each node is all alone for a while.
                if (size > 3) {
                    for (int node = 0; node < size; node++) {
                        faults.add(new Fault(quietMs, Fault.Kind.ONE_WAY, List.of(node), List.of(), ALONE_MS, 0));
                    }
                    return new PeersScenario(seed, size, List.copyOf(faults));
                }
            }
            default -> {}
        }
        for (int i = 0; i < count; i++) {
            faults.add(fault(kinds[chance.nextInt(kinds.length)], size, quietMs, chance));
        }
        faults.sort(java.util.Comparator.comparingDouble(Fault::atMs));
        return new PeersScenario(seed, size, List.copyOf(faults));
    }

    private static Fault fault(Fault.Kind kind, int size, double quietMs, RandomGenerator chance) {
        double atMs = quietMs + Math.round(chance.nextDouble() * FAULTS_MS / 2);
        double lastsMs = Math.round(100 + chance.nextDouble() * FAULTS_MS / 2);
        int most = chance.nextInt(4) == 0 ? Math.max(1, size * 7 / 10) : Math.max(1, size / 5);
        List<Integer> nodes = some(1 + chance.nextInt(most), size, chance);
        List<Integer> others = List.of();
        double number = 0;
        switch (kind) {
            case CRASH -> lastsMs = chance.nextInt(3) == 0 ? 0 : Math.round(50 + chance.nextDouble() * lastsMs);
            case LEAVE -> lastsMs = 0;
            case CUT, ONE_WAY -> others = chance.nextBoolean()
                    ? List.of()
                    : some(1 + chance.nextInt(most), size, chance).stream()
                            .filter(other -> !nodes.contains(other))
                            .toList();
            case LOSS -> number = 0.05 + 0.9 * chance.nextDouble();
            case DELAY -> number = Math.round(10 + 1000 * chance.nextDouble());
            case TWICE -> number = chance.nextDouble();
            case HELD -> {
                lastsMs = Math.min(lastsMs, 3000);
                number = Math.round(
                        lastsMs + chance.nextDouble() * (chance.nextInt(50) == 0 && size < 10 ? 3_600_000 : 15_000));
            }
            case SLOW -> number = Math.round(1 + 30 * chance.nextDouble());
            case SET_BACK -> {
                lastsMs = Math.round(50 + chance.nextDouble() * 3000);
                number = Math.round(100 + chance.nextDouble() * 100_000);
            }
            case CLOCK -> {
                lastsMs = 0;
                number = 0.98 + 0.04 * chance.nextDouble();
            }
            default -> {}
        }
        return new Fault(atMs, kind, nodes, others, lastsMs, number);
    }

    private static List<Integer> some(int count, int size, RandomGenerator chance) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(i);
        }
        while (all.size() > count) {
            all.remove(chance.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    /** In so much time after the last fault all views are the same again. */
    public static double settlesMs(int size, GossipTimings times) {
        return times.probeIntervalMs() * (40 + 12 * Math.log(size) / Math.log(2)) + 6 * times.minSuspicionMs(size);
    }

    public Outcome play(GossipTimings times, boolean logs) {
        return play(times, logs, UnaryOperator.identity());
    }

    public Outcome play(GossipTimings times, boolean logs, UnaryOperator<PeerMessage> planted) {
        PeersSimulation scene = new PeersSimulation(size, times, planted);
        if (logs) {
            scene.keepLog();
        }
        SimulatedNetwork<PeerMessage> world = new SimulatedNetwork<>(size, seed, 4, scene);
        scene.in(world);
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            world.start(node, chance.nextDouble() * 1000);
        }
        world.script(faults);
        double endMs = quietMs(size);
        for (Fault fault : faults) {
            double lateMs = fault.kind() == Fault.Kind.HELD ? fault.size() : fault.lastsMs();
            endMs = Math.max(endMs, fault.atMs() + lateMs);
        }
        if (!faults.isEmpty()) {
            world.run(quietMs(size) - 1);
            scene.settled();
        }
        endMs += settlesMs(size, times);
        world.run(endMs);
        scene.settled();
        scene.calm();
        world.run(endMs + CALM_MS);
        scene.calmEnded(CALM_MS);
        if (faults.stream().allMatch(PeersScenario::onePair)
                && (!scene.rules().falseRemovals().isEmpty() || scene.rules().falseSuspicionsInFault() > 0)) {
            scene.rules()
                    .breach(
                            endMs,
                            "helpers find it",
                            "suspected or held for gone though only single links were cut: "
                                    + scene.rules().falseRemovals() + ", suspicions "
                                    + scene.rules().falseSuspicionsInFault());
        }
        if (faults.size() == size
                && faults.stream().allMatch(fault -> fault.lastsMs() == ALONE_MS)
                && !scene.rules().falseRemovals().isEmpty()) {
            scene.rules()
                    .breach(
                            endMs,
                            "alone it ends nobody",
                            "nodes all alone held for gone " + scene.rules().falseRemovals());
        }
        if (faults.size() == 1
                && faults.get(0).kind() == Fault.Kind.LEAVE
                && scene.rules().goneAfterLeaving() > 0) {
            scene.rules().breach(endMs, "leaving is told", "held for gone, and it had said that it leaves");
        }
        return new Outcome(List.copyOf(scene.rules().breaches()), world.hash(), world.messages(), scene, endMs);
    }

    /** Hundreds that start at once know each other later, in proportion. */
    private static double quietMs(int size) {
        return QUIET_MS * Math.max(1, size / 100.0);
    }

    private static boolean onePair(Fault fault) {
        return (fault.kind() == Fault.Kind.CUT || fault.kind() == Fault.Kind.ONE_WAY)
                && fault.nodes().size() == 1
                && fault.others().size() == 1;
    }

    /** The shortest script found that still breaks the same rule: faults left out, then shortened, then fewer nodes. */
    public PeersScenario shrink(GossipTimings times, String rule, UnaryOperator<PeerMessage> planted) {
        PeersScenario least = this;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            for (PeersScenario next : least.simpler()) {
                if (next.play(times, false, planted).breaches().stream()
                        .anyMatch(breach -> breach.rule().equals(rule))) {
                    least = next;
                    smaller = true;
                    break;
                }
            }
        }
        return least;
    }

    private List<PeersScenario> simpler() {
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
