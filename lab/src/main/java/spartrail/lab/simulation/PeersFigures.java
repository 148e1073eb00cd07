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

/** Measures how soon fleets detect a crash, how often nodes err under a fault, and what the gossip costs. */
public final class PeersFigures {
    /** A row of a table; rates are per hour and node, bytes are per second and node. */
    public record Row(
            int size,
            String fault,
            int runs,
            long detectionTimesMs,
            double p50Ms,
            double p99Ms,
            double mostMs,
            double boundMs,
            double suspicionsAnHour,
            double endsAnHour,
            double bytesPerS,
            double mostBytesPerS,
            double boundBytesPerS) {}

    private static final double FAULT_START_MS = 20_000;
    private static final double FAULT_DURATION_MS = 60_000;
    /** The simulated duration of a run in seconds. */
    public static final double RUN_S = (FAULT_START_MS + FAULT_DURATION_MS) / 1000;
    /** IPv4 and UDP headers. */
    private static final int HEADER_BYTES = 28;

    private PeersFigures() {}

    /** Returns the faults of this name; they affect a tenth of the nodes, at least one. */
    private static List<Fault> createFaults(String name, int size, RandomGenerator random) {
        List<Integer> tenth = new ArrayList<>();
        int first = 3 + random.nextInt(size - 3);
        for (int i = 0; i < Math.max(1, size / 10); i++) {
            tenth.add((first + i) % size);
        }
        return switch (name) {
            case "none" -> List.of();
            case "crash of one" -> List.of(
                    new Fault(FAULT_START_MS, Fault.Kind.CRASH, tenth.subList(0, 1), List.of(), 0, 0));
            case "crash of a tenth" -> List.of(new Fault(FAULT_START_MS, Fault.Kind.CRASH, tenth, List.of(), 0, 0));
            case "a tenth loses 0.3 of what it sends" -> List.of(
                    new Fault(FAULT_START_MS, Fault.Kind.LOSS, tenth, List.of(), FAULT_DURATION_MS, 0.3));
            case "a tenth sends up to 300 ms late" -> List.of(
                    new Fault(FAULT_START_MS, Fault.Kind.DELAY, tenth, List.of(), FAULT_DURATION_MS, 300));
            case "a tenth takes 25 ms a step" -> List.of(
                    new Fault(FAULT_START_MS, Fault.Kind.SLOW, tenth, List.of(), FAULT_DURATION_MS, 25));
            case "a tenth pauses for 1 s in 5" -> {
                List<Fault> pauses = new ArrayList<>();
                for (int i = 0; i < FAULT_DURATION_MS / 5000; i++) {
                    pauses.add(new Fault(FAULT_START_MS + 5000 * i, Fault.Kind.STALL, tenth, List.of(), 1000, 0));
                }
                yield pauses;
            }
            default -> throw new IllegalArgumentException("unknown fault '" + name + "', expected one of " + FAULTS);
        };
    }

    public static final List<String> FAULTS = List.of(
            "none",
            "crash of one",
            "crash of a tenth",
            "a tenth loses 0.3 of what it sends",
            "a tenth sends up to 300 ms late",
            "a tenth takes 25 ms a step",
            "a tenth pauses for 1 s in 5");

    private record Run(List<Double> detectionTimesMs, long suspicions, long ends, double bytes, double mostBytes) {}

    /** Measures {@code runs} runs with the seeds 1 to {@code runs}. */
    public static Row measure(int size, String fault, int runs, GossipTimings timings) {
        List<Run> all = LongStream.rangeClosed(1, runs)
                .parallel()
                .mapToObj(seed -> run(size, fault, seed, timings))
                .toList();
        List<Double> detectionTimesMs = new ArrayList<>();
        all.forEach(run -> detectionTimesMs.addAll(run.detectionTimesMs()));
        Collections.sort(detectionTimesMs);
        double hours = runs * FAULT_DURATION_MS / 3_600_000 * size;
        return new Row(
                size,
                fault,
                runs,
                detectionTimesMs.size(),
                quantile(detectionTimesMs, 0.5),
                quantile(detectionTimesMs, 0.99),
                quantile(detectionTimesMs, 1),
                timings.detectionBoundMs(size),
                all.stream().mapToLong(Run::suspicions).sum() / hours,
                all.stream().mapToLong(Run::ends).sum() / hours,
                all.stream().mapToDouble(Run::bytes).average().orElse(0),
                all.stream().mapToDouble(Run::mostBytes).max().orElse(0),
                SwimMembership.maxMessagesPerSecond(timings) * (DatagramFrame.MAX_BYTES + HEADER_BYTES));
    }

    private static double quantile(List<Double> sorted, double share) {
        return sorted.isEmpty()
                ? Double.NaN
                : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size())));
    }

    private static Run run(int size, String fault, long seed, GossipTimings timings) {
        long[] bytes = new long[1];
        long[] bytesByNode = new long[size];
        boolean[] isCounting = new boolean[1];
        PeersSimulation simulation = new PeersSimulation(size, timings, UnaryOperator.identity()) {
            @Override
            public void onSend(int node, PeerMessage message, double networkMs) {
                super.onSend(node, message, networkMs);
                if (isCounting[0]) {
                    int length = PeerMessageCodec.encode("fleet-1", message).length + HEADER_BYTES;
                    bytes[0] += length;
                    bytesByNode[node] += length;
                }
            }
        };
        SimulatedNetwork<PeerMessage> network = new SimulatedNetwork<>(size, seed, 4, simulation);
        simulation.attachTo(network);
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int node = 0; node < size; node++) {
            network.startAt(node, random.nextDouble() * 1000);
        }
        network.scheduleFaults(createFaults(fault, size, random));
        network.runUntil(FAULT_START_MS);
        isCounting[0] = true;
        network.runUntil(FAULT_START_MS + FAULT_DURATION_MS);
        long maxBytes = 0;
        for (long nodeBytes : bytesByNode) {
            maxBytes = Math.max(maxBytes, nodeBytes);
        }
        return new Run(
                simulation.rules().detectionTimesMs(),
                simulation.rules().falseSuspicions(),
                simulation.rules().falseRemovals().values().stream()
                        .mapToInt(each -> each)
                        .sum(),
                bytes[0] * 1000.0 / FAULT_DURATION_MS / size,
                maxBytes * 1000.0 / FAULT_DURATION_MS);
    }
}
