package spartrail.lab.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a run was like. Latencies are in microseconds, to three digits, by phase, op type and kind; nothing here grows
 * with the number of tries but the seconds of the run, and these become wider when there are too many.
 */
public final class Recorder {
    /** A group of tries that ended alike. */
    public record Group(int phase, String opType, AttemptResult kind) implements Comparable<Group> {
        @Override
        public int compareTo(Group other) {
            int order = Integer.compare(phase, other.phase);
            order = order == 0 ? opType.compareTo(other.opType) : order;
            return order == 0 ? kind.compareTo(other.kind) : order;
        }
    }

    /** From the time a try was meant to leave, and from its last byte. */
    public static final class Times {
        public final Histogram latency = new Histogram(3);
        public final Histogram service = new Histogram(3);
    }

    /** A second of the run, by the time at which its tries were meant to leave. */
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

    private static final int MOST_SLICES = 1200;

    public final Map<Group, Times> groups = new TreeMap<>();
    public final Histogram lag = new Histogram(3);
    /** A client's whole course, until it was served, and how many tries it took; of those that were not, the number. */
    public final Histogram served = new Histogram(3);

    public final Histogram tries = new Histogram(2);
    public long unserved;
    public long opened;
    public long closedIdle;
    public long resent;
    public long twice;
    public long noSocket;
    public long capBound;
    private Slice[] slices = new Slice[64];
    private double sliceMs = 1000;
    private int last = -1;
    private double startMs;

    public void start(double atMs) {
        startMs = atMs;
    }

    void intended(ClientAttempt ask) {
        slice(ask.intendedMs).intended++;
    }

    void lag(double ms) {
        lag.recordValue(micros(ms));
    }

    void ended(ClientAttempt ask, AttemptResult kind, double nowMs) {
        Times times = groups.computeIfAbsent(
                new Group(ask.arrival.phase(), ask.arrival.opType(), kind), group -> new Times());
        times.latency.recordValue(micros(nowMs - ask.intendedMs));
        if (!Double.isNaN(ask.writtenMs)) {
            times.service.recordValue(micros(nowMs - ask.writtenMs));
        }
        Slice slice = slice(ask.intendedMs);
        slice.kinds.merge(kind, 1L, Long::sum);
        slice.latency.recordValue(micros(nowMs - ask.intendedMs));
    }

    void story(ClientAttempt ask, boolean wasServed, double nowMs) {
        if (wasServed) {
            served.recordValue(micros(nowMs - ask.storyMs));
        } else {
            unserved++;
        }
        tries.recordValue(ask.tryNumber);
    }

    private static long micros(double ms) {
        return Math.max(0, Math.round(1000 * ms));
    }

    private Slice slice(double ms) {
        int at = (int) Math.max(0, (ms - startMs) / sliceMs);
        while (at >= MOST_SLICES) {
            Slice[] wider = new Slice[slices.length];
            for (int i = 0; i <= last; i++) {
                if (slices[i] != null) {
                    if (wider[i / 2] == null) {
                        wider[i / 2] = new Slice();
                    }
                    wider[i / 2].add(slices[i]);
                }
            }
            slices = wider;
            last /= 2;
            sliceMs *= 2;
            at = (int) ((ms - startMs) / sliceMs);
        }
        if (at >= slices.length) {
            slices = java.util.Arrays.copyOf(slices, Math.max(2 * slices.length, at + 1));
        }
        if (slices[at] == null) {
            slices[at] = new Slice();
        }
        last = Math.max(last, at);
        return slices[at];
    }

    public double sliceMs() {
        return sliceMs;
    }

    /** Slices from the start on; those without a try are empty. */
    public java.util.List<Slice> slices() {
        java.util.List<Slice> list = new java.util.ArrayList<>();
        for (int i = 0; i <= last; i++) {
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

    /** Latencies, or service times, of all tries of these kinds. */
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
