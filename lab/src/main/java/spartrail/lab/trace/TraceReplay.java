package spartrail.lab.trace;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.ClientBehavior;
import spartrail.lab.plan.TrafficStream;

/**
 * A trace as arrivals: faster or slower, looped, thinned, multiplied. Of a multiplied trace each copy has keys of its own
 * and comes a little later, as one more client population would; thinned lines are the same ones for the same seed.
 */
public final class TraceReplay implements Iterator<Arrival>, AutoCloseable {
    private static final double COPY_SPREAD_MS = 20;

    private final Path file;
    private final double speed;
    private final int loops;
    private final double share;
    private final int copies;
    private final TrafficStream stream;
    private final SplittableRandom chance;
    private final Deque<Arrival> ready = new ArrayDeque<>();
    private final java.util.PriorityQueue<Arrival> later = new java.util.PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private TraceFile.Reader reader;
    private int loop;
    private double loopFromMs;
    private double lastMs;
    private long number;
    private boolean ended;

    public TraceReplay(Path file, double speed, int loops, double share, int copies, long seed, ClientBehavior behavior)
            throws IOException {
        this.file = file;
        this.speed = speed;
        this.loops = loops;
        this.share = share;
        this.copies = copies;
        this.chance = new SplittableRandom(seed);
        this.stream = new TrafficStream(
                "trace",
                1,
                List.of(),
                List.of(new TrafficStream.Share<>("any", 1)),
                new TrafficStream.ShardSelection(1, 1, 1, 1, true),
                true,
                new TrafficStream.Work(0, 0, 0, 0),
                new TrafficStream.Keys(1, 1, 0),
                List.of(new TrafficStream.Share<>(16, 1)),
                "",
                0,
                behavior);
        this.reader = new TraceFile.Reader(file);
        fill();
    }

    /** A trace as it is, or a record that is first made one. */
    public static Path trace(Path file, Path scratch) throws IOException {
        try (var in = Files.newInputStream(file)) {
            if (in.read() != '{') {
                return file;
            }
        }
        TraceImport.run(file, scratch, TraceImport.Columns.usual(), 5000, false, 0, true);
        return scratch;
    }

    public TrafficStream stream() {
        return stream;
    }

    private void fill() {
        try {
            while (ready.isEmpty() && !(ended && later.isEmpty())) {
                TraceLine line = ended ? null : reader.next();
                if (line == null) {
                    reader.close();
                    if (!ended && ++loop < loops) {
                        loopFromMs = lastMs;
                        reader = new TraceFile.Reader(file);
                        continue;
                    }
                    ended = true;
                    while (!later.isEmpty()) {
                        ready.add(later.poll());
                    }
                    return;
                }
                double atMs = loopFromMs + line.atMs() / speed;
                lastMs = Math.max(lastMs, atMs);
                for (int copy = 0; copy < copies; copy++) {
                    if (share >= 1 || chance.nextDouble() < share) {
                        double lateMs = copy == 0 ? 0 : chance.nextDouble() * COPY_SPREAD_MS;
                        later.add(arrival(line, atMs + lateMs, copy));
                    }
                }
                while (!later.isEmpty() && later.peek().atMs() <= atMs) {
                    ready.add(later.poll());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Arrival arrival(TraceLine line, double atMs, int copy) {
        double[] weights = new double[line.shards().length];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = line.weights() == null ? 1 : line.weights()[i];
            sum += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            weights[i] = sum > 0 ? weights[i] / sum : 1.0 / weights.length;
        }
        String key = copy == 0 ? line.key() : line.key() + "~" + copy;
        return new Arrival(
                number++,
                atMs,
                0,
                stream,
                line.opType(),
                key,
                line.shards(),
                weights,
                line.workMs(),
                line.workMs(),
                Math.max(1, line.textBytes()),
                line.clientMs(),
                false,
                chance.nextLong());
    }

    @Override
    public boolean hasNext() {
        return !ready.isEmpty();
    }

    @Override
    public Arrival next() {
        if (ready.isEmpty()) {
            throw new NoSuchElementException();
        }
        Arrival next = ready.poll();
        fill();
        return next;
    }

    @Override
    public void close() throws IOException {
        reader.close();
    }
}
