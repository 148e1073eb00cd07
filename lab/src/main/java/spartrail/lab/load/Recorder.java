package spartrail.lab.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The measurements of a run. Latencies are in microseconds, to three digits, by phase, op type and result. Memory does
 * not grow with the number of attempts, only with the seconds of the run; beyond {@link #MAX_SLICES} the slices become
 * wider.
 */
public final class Recorder {
    /** Attempts of one phase and op type that ended with the same result. */
    public record Group(int phase, String opType, AttemptResult kind) implements Comparable<Group> {
        @Override
        public int compareTo(Group other) {
            int order = Integer.compare(phase, other.phase);
            order = order == 0 ? opType.compareTo(other.opType) : order;
            return order == 0 ? kind.compareTo(other.kind) : order;
        }
    }

    /** Latency from the intended time of an attempt, and service time from its last byte written. */
    public static final class Times {
        public final Histogram latency = new Histogram(3);
        public final Histogram service = new Histogram(3);
    }

    /** A second of the run, or a multiple of it; attempts belong to it by their intended time. */
    public static final class Slice {
        public long intended;
        public final Map<AttemptResult, Long> kinds = new EnumMap<>(AttemptResult.class);
        public final Histogram latency = new Histogram(2);

        private void add(Slice other) {
            intended += other.intended;
            other.kinds.forEach((kind, count) -> kinds.merge(kind, count, Long::sum));
            latency.add(other.latency);
        }
    }

    private static final int MAX_SLICES = 1200;

    public final Map<Group, Times> groups = new TreeMap<>();
    public final Histogram lag = new Histogram(3);
    /** Durations of the client sessions that were served, from the first intended time. */
    public final Histogram served = new Histogram(3);
    /** Attempts per client session. */
    public final Histogram tries = new Histogram(2);
    /** Client sessions that were not served. */
    public long unserved;

    public long connectionsOpened;
    public long connectionsClosedIdle;
    public long resent;
    public long unexpectedResponses;
    public long socketFailures;
    public long waitsForConnection;
    private Slice[] slices = new Slice[64];
    private double sliceMs = 1000;
    private int lastSlice = -1;
    private double startMs;

    public void start(double atMs) {
        startMs = atMs;
    }

    void recordIntended(ClientAttempt attempt) {
        sliceAt(attempt.intendedMs).intended++;
    }

    void recordLag(double ms) {
        lag.recordValue(toMicros(ms));
    }

    void recordEnd(ClientAttempt attempt, AttemptResult kind, double nowMs) {
        Times times = groups.computeIfAbsent(
                new Group(attempt.arrival.phase(), attempt.arrival.opType(), kind), group -> new Times());
        times.latency.recordValue(toMicros(nowMs - attempt.intendedMs));
        if (!Double.isNaN(attempt.writtenMs)) {
            times.service.recordValue(toMicros(nowMs - attempt.writtenMs));
        }
        Slice slice = sliceAt(attempt.intendedMs);
        slice.kinds.merge(kind, 1L, Long::sum);
        slice.latency.recordValue(toMicros(nowMs - attempt.intendedMs));
    }

    void recordSession(ClientAttempt attempt, boolean wasServed, double nowMs) {
        if (wasServed) {
            served.recordValue(toMicros(nowMs - attempt.sessionStartMs));
        } else {
            unserved++;
        }
        tries.recordValue(attempt.attemptNumber);
    }

    private static long toMicros(double ms) {
        return Math.max(0, Math.round(1000 * ms));
    }

    private Slice sliceAt(double ms) {
        int index = (int) Math.max(0, (ms - startMs) / sliceMs);
        while (index >= MAX_SLICES) {
            Slice[] wider = new Slice[slices.length];
            for (int i = 0; i <= lastSlice; i++) {
                if (slices[i] != null) {
                    if (wider[i / 2] == null) {
                        wider[i / 2] = new Slice();
                    }
                    wider[i / 2].add(slices[i]);
                }
            }
            slices = wider;
            lastSlice /= 2;
            sliceMs *= 2;
            index = (int) ((ms - startMs) / sliceMs);
        }
        if (index >= slices.length) {
            slices = java.util.Arrays.copyOf(slices, Math.max(2 * slices.length, index + 1));
        }
        if (slices[index] == null) {
            slices[index] = new Slice();
        }
        lastSlice = Math.max(lastSlice, index);
        return slices[index];
    }

    public double sliceMs() {
        return sliceMs;
    }

    /** All slices from the start of the run; a slice without attempts is empty. */
    public java.util.List<Slice> slices() {
        java.util.List<Slice> list = new java.util.ArrayList<>();
        for (int i = 0; i <= lastSlice; i++) {
            list.add(slices[i] == null ? new Slice() : slices[i]);
        }
        return list;
    }

    public long count(AttemptResult kind) {
        return groups.entrySet().stream()
                .filter(entry -> entry.getKey().kind() == kind)
                .mapToLong(entry -> entry.getValue().latency.getTotalCount())
                .sum();
    }

    public long all() {
        return groups.values().stream()
                .mapToLong(times -> times.latency.getTotalCount())
                .sum();
    }

    /** Latencies, or service times, of all attempts with these results. */
    public Histogram total(java.util.function.Predicate<AttemptResult> kinds, boolean latency) {
        Histogram sum = new Histogram(3);
        groups.forEach((group, times) -> {
            if (kinds.test(group.kind())) {
                sum.add(latency ? times.latency : times.service);
            }
        });
        return sum;
    }
}
