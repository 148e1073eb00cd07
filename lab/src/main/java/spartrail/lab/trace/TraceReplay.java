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
 * Replays a trace as arrivals. It can change the speed, repeat the trace, sample its lines and send copies of them.
 * Each copy after the first has a key of its own and is delayed by up to {@link #COPY_SPREAD_MS}, like the requests of
 * further clients; the same seed samples the same lines.
 */
public final class TraceReplay implements Iterator<Arrival>, AutoCloseable {
    private static final double RECORD_REORDER_MS = 5000;
    private static final double COPY_SPREAD_MS = 20;

    private final Path file;
    private final double speed;
    private final int loops;
    private final double share;
    private final int copies;
    private final TrafficStream stream;
    private final SplittableRandom random;
    private final Deque<Arrival> ready = new ArrayDeque<>();
    private final java.util.PriorityQueue<Arrival> delayedCopies = new java.util.PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private TraceFile.Reader reader;
    private int loopsDone;
    private double loopStartMs;
    private double lastMs;
    private long number;
    private boolean ended;

    /** Opens the trace; each of the {@code copies} of a line is sent with probability {@code share}. */
    public TraceReplay(Path file, double speed, int loops, double share, int copies, long seed, ClientBehavior behavior)
            throws IOException {
        this.file = file;
        this.speed = speed;
        this.loops = loops;
        this.share = share;
        this.copies = copies;
        this.random = new SplittableRandom(seed);
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
        fillReady();
    }

    /**
     * Returns {@code file} if it is a trace; if it is a front node's record, imports it into {@code scratch} and
     * returns that.
     */
    public static Path traceOrImport(Path file, Path scratch) throws IOException {
        try (var in = Files.newInputStream(file)) {
            if (in.read() != '{') {
                return file;
            }
        }
        TraceImport.run(file, scratch, TraceImport.Columns.ofRecord(), RECORD_REORDER_MS, false, 0, true);
        return scratch;
    }

    /** The traffic stream to which all arrivals belong. */
    public TrafficStream stream() {
        return stream;
    }

    private void fillReady() {
        try {
            while (ready.isEmpty() && !(ended && delayedCopies.isEmpty())) {
                TraceLine line = ended ? null : reader.readNext();
                if (line == null) {
                    reader.close();
                    if (!ended && ++loopsDone < loops) {
                        loopStartMs = lastMs;
                        reader = new TraceFile.Reader(file);
                        continue;
                    }
                    ended = true;
                    while (!delayedCopies.isEmpty()) {
                        ready.add(delayedCopies.poll());
                    }
                    return;
                }
                double atMs = loopStartMs + line.atMs() / speed;
                lastMs = Math.max(lastMs, atMs);
                for (int copy = 0; copy < copies; copy++) {
                    if (share >= 1 || random.nextDouble() < share) {
                        double delayMs = copy == 0 ? 0 : random.nextDouble() * COPY_SPREAD_MS;
                        delayedCopies.add(createArrival(line, atMs + delayMs, copy));
                    }
                }
                while (!delayedCopies.isEmpty() && delayedCopies.peek().atMs() <= atMs) {
                    ready.add(delayedCopies.poll());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Arrival createArrival(TraceLine line, double atMs, int copy) {
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
                random.nextLong());
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
        fillReady();
        return next;
    }

    @Override
    public void close() throws IOException {
        reader.close();
    }
}
