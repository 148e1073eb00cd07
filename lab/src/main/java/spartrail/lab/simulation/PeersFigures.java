package spartrail.lab.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.LongStream;
import spartrail.peers.GossipTimings;
import spartrail.peers.PeerMessage;
import spartrail.peers.SwimMembership;
import spartrail.peers.transport.DatagramFrame;
import spartrail.peers.transport.PeerMessageCodec;

/** How soon fleets of a size know of a crash, how often they err under a fault, and what their talk costs. */
public final class PeersFigures {
    /** A row of a table; times in milliseconds, rates by hour and node, bytes by second and node. */
    public record Row(
            int size,
            String fault,
            int runs,
            long known,
            double p50Ms,
            double p99Ms,
            double mostMs,
            double boundMs,
            double suspicionsAnHour,
            double endsAnHour,
            double bytesPerS,
            double mostBytesPerS,
            double boundBytesPerS) {}

    private static final double BEGINS_MS = 20_000;
    private static final double LASTS_MS = 60_000;
    /** Seconds that pass for each node in a run. */
    public static final double RUN_S = (BEGINS_MS + LASTS_MS) / 1000;
    /** IPv4 and UDP heads. */
    private static final int HEADS = 28;

    private PeersFigures() {}

    /** What a fault does to a tenth of the nodes, one at least. */
    private static List<Fault> faults(String name, int size, RandomGenerator chance) {
        List<Integer> tenth = new ArrayList<>();
        int first = 3 + chance.nextInt(size - 3);
        for (int i = 0; i < Math.max(1, size / 10); i++) {
            tenth.add((first + i) % size);
        }
        return switch (name) {
            case "none" -> List.of();
            case "crash of one" -> List.of(
                    new Fault(BEGINS_MS, Fault.Kind.CRASH, tenth.subList(0, 1), List.of(), 0, 0));
            case "crash of a tenth" -> List.of(new Fault(BEGINS_MS, Fault.Kind.CRASH, tenth, List.of(), 0, 0));
            case "a tenth loses 0.3 of what it sends" -> List.of(
                    new Fault(BEGINS_MS, Fault.Kind.LOSS, tenth, List.of(), LASTS_MS, 0.3));
            case "a tenth sends up to 300 ms late" -> List.of(
                    new Fault(BEGINS_MS, Fault.Kind.DELAY, tenth, List.of(), LASTS_MS, 300));
            case "a tenth takes 25 ms a step" -> List.of(
                    new Fault(BEGINS_MS, Fault.Kind.SLOW, tenth, List.of(), LASTS_MS, 25));
            case "a tenth stands still for 1 s in 5" -> {
                List<Fault> stalls = new ArrayList<>();
                for (int i = 0; i < LASTS_MS / 5000; i++) {
                    stalls.add(new Fault(BEGINS_MS + 5000 * i, Fault.Kind.STALL, tenth, List.of(), 1000, 0));
                }
                yield stalls;
            }
            default -> throw new IllegalArgumentException(name);
        };
    }

    public static final List<String> FAULTS = List.of(
            "none",
            "crash of one",
            "crash of a tenth",
            "a tenth loses 0.3 of what it sends",
            "a tenth sends up to 300 ms late",
            "a tenth takes 25 ms a step",
            "a tenth stands still for 1 s in 5");

    private record Run(List<Double> detectionTimesMs, long suspicions, long ends, double bytes, double mostBytes) {}

    /** So many runs, each from a seed of its own. */
    public static Row measure(int size, String fault, int runs, GossipTimings times) {
        List<Run> all = LongStream.rangeClosed(1, runs)
                .parallel()
                .mapToObj(seed -> run(size, fault, seed, times))
                .toList();
        List<Double> known = new ArrayList<>();
        all.forEach(run -> known.addAll(run.detectionTimesMs()));
        Collections.sort(known);
        double hours = runs * LASTS_MS / 3_600_000 * size;
        return new Row(
                size,
                fault,
                runs,
                known.size(),
                at(known, 0.5),
                at(known, 0.99),
                at(known, 1),
                times.detectionBoundMs(size),
                all.stream().mapToLong(Run::suspicions).sum() / hours,
                all.stream().mapToLong(Run::ends).sum() / hours,
                all.stream().mapToDouble(Run::bytes).average().orElse(0),
                all.stream().mapToDouble(Run::mostBytes).max().orElse(0),
                SwimMembership.maxMessagesPerSecond(times) * (DatagramFrame.MAX_BYTES + HEADS));
    }

    private static double at(List<Double> sorted, double part) {
        return sorted.isEmpty()
                ? Double.NaN
                : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(part * sorted.size())));
    }

    private static Run run(int size, String fault, long seed, GossipTimings times) {
        long[] bytes = new long[1];
        long[] ofNode = new long[size];
        boolean[] counts = new boolean[1];
        PeersSimulation scene = new PeersSimulation(size, times, UnaryOperator.identity()) {
            @Override
            public void sent(int node, PeerMessage message, double worldMs) {
                super.sent(node, message, worldMs);
                if (counts[0]) {
                    int length = PeerMessageCodec.encode("fleet-1", message).length + HEADS;
                    bytes[0] += length;
                    ofNode[node] += length;
                }
            }
        };
        SimulatedNetwork<PeerMessage> world = new SimulatedNetwork<>(size, seed, 4, scene);
        scene.in(world);
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            world.start(node, chance.nextDouble() * 1000);
        }
        world.script(faults(fault, size, chance));
        world.run(BEGINS_MS);
        counts[0] = true;
        world.run(BEGINS_MS + LASTS_MS);
        long most = 0;
        for (long each : ofNode) {
            most = Math.max(most, each);
        }
        return new Run(
                scene.rules().detectionTimesMs(),
                scene.rules().falseSuspicions(),
                scene.rules().falseRemovals().values().stream()
                        .mapToInt(each -> each)
                        .sum(),
                bytes[0] * 1000.0 / LASTS_MS / size,
                most * 1000.0 / LASTS_MS);
    }
}
