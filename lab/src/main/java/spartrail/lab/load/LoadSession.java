package spartrail.lab.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import org.HdrHistogram.Histogram;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.LoadPlan;

/** One run of a load plan against front nodes, from its start to its report. */
public final class LoadSession implements AutoCloseable {
    /** The state of a run while it is in progress. */
    public record Snapshot(
            double ms,
            double lastsMs,
            long tries,
            int inFlight,
            int connections,
            double p50Ms,
            double p99Ms,
            double lagP99Ms,
            Map<AttemptResult, Long> kinds) {}

    private static final long WARM_UP_NS = 400_000_000;
    private static final int WARM_UP_ARRIVALS = 2000;

    private final LoadPlan plan;
    private final SocketLoop loop;
    private final HttpClientTransport transport;
    private final Recorder recorder = new Recorder();
    private final LoadGenerator generator;
    private final double lastsMs;
    private final double startMs;

    /** Starts the run at once; {@code lastsMs} is used only to display progress. */
    public LoadSession(LoadPlan plan, Iterator<Arrival> arrivals, double lastsMs, LoadListener listener) {
        this(plan, arrivals, lastsMs, listener, false);
    }

    /** Starts the run at once; a busy-waiting loop needs a core of its own and never sleeps before a send. */
    public LoadSession(
            LoadPlan plan, Iterator<Arrival> arrivals, double lastsMs, LoadListener listener, boolean isBusyWaiting) {
        this.loop = new SocketLoop("spartrail-load", isBusyWaiting);
        this.transport = new HttpClientTransport(loop);
        this.plan = plan;
        this.lastsMs = lastsMs;
        this.generator = new LoadGenerator(plan, arrivals, transport, recorder, listener);
        warmUp(plan);
        this.startMs = loop.nowMs();
        transport.drive(generator, plan);
    }

    /**
     * Warms up the JVM by playing the start of the plan on a virtual clock. Without it the generator would be tens of
     * milliseconds late in its first second, which would make a short run unfit.
     */
    private static void warmUp(LoadPlan plan) {
        long untilNs = System.nanoTime() + WARM_UP_NS;
        while (System.nanoTime() < untilNs) {
            Iterator<Arrival> allArrivals = plan.arrivals();
            Iterator<Arrival> firstArrivals = new Iterator<>() {
                private int left = WARM_UP_ARRIVALS;

                @Override
                public boolean hasNext() {
                    return left > 0 && allArrivals.hasNext();
                }

                @Override
                public Arrival next() {
                    left--;
                    return allArrivals.next();
                }
            };
            VirtualClientTransport virtual = new VirtualClientTransport((number, atMs) -> atMs + 1);
            virtual.play(new LoadGenerator(plan, firstArrivals, virtual, new Recorder(), LoadListener.NONE));
        }
    }

    /** Waits at most this long for the end of the run; returns whether it has ended. */
    public boolean await(double ms) throws InterruptedException {
        double untilMs = loop.nowMs() + ms;
        while (true) {
            boolean[] isOver = new boolean[1];
            loop.call(() -> isOver[0] = generator.isOver());
            if (isOver[0]) {
                return true;
            }
            if (loop.nowMs() >= untilMs) {
                return false;
            }
            Thread.sleep(10);
        }
    }

    /** Stops new arrivals and retries; the report states the reason. */
    public void stop(String reason) {
        loop.execute(() -> generator.stop(reason));
    }

    public Snapshot snapshot() {
        Snapshot[] snapshot = new Snapshot[1];
        loop.call(() -> {
            Histogram latencies = recorder.total(kind -> true, true);
            Map<AttemptResult, Long> kinds = new EnumMap<>(AttemptResult.class);
            for (AttemptResult kind : AttemptResult.values()) {
                if (recorder.count(kind) > 0) {
                    kinds.put(kind, recorder.count(kind));
                }
            }
            snapshot[0] = new Snapshot(
                    loop.nowMs() - startMs,
                    lastsMs,
                    recorder.all(),
                    generator.inFlight(),
                    generator.connections(),
                    latencies.getValueAtPercentile(50) / 1000.0,
                    latencies.getValueAtPercentile(99) / 1000.0,
                    recorder.lag.getValueAtPercentile(99) / 1000.0,
                    kinds);
        });
        return snapshot[0];
    }

    public ObjectNode report() {
        ObjectNode[] tree = new ObjectNode[1];
        loop.call(() -> tree[0] = LoadReport.tree(plan, recorder, generator.stopReason(), loop.nowMs() - startMs));
        return tree[0];
    }

    /** The longest time since the last call for which a busy-waiting session did not poll its sockets. */
    public double takeLongestPauseMs() {
        return loop.takeLongestPauseMs();
    }

    public Recorder recorder() {
        return recorder;
    }

    @Override
    public void close() {
        transport.close();
        loop.close();
    }
}
