package spartrail.lab.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import org.HdrHistogram.Histogram;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.LoadPlan;

/** One run of a plan against front nodes, from its start to its report. */
public final class LoadSession implements AutoCloseable {
    /** What a run looks like while it goes. */
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

    private static final long REHEARSED_NS = 400_000_000;
    private static final int REHEARSED = 2000;

    private final LoadPlan plan;
    private final SocketLoop loop;
    private final HttpClientTransport sockets;
    private final Recorder recorder = new Recorder();
    private final LoadGenerator generator;
    private final double lastsMs;
    private final double startMs;

    /** Starts at once; {@code lastsMs} is only for showing how far it is. */
    public LoadSession(LoadPlan plan, Iterator<Arrival> arrivals, double lastsMs, LoadListener listener) {
        this(plan, arrivals, lastsMs, listener, false);
    }

    /** One that is awake has a core for itself and never naps before a send. */
    public LoadSession(
            LoadPlan plan, Iterator<Arrival> arrivals, double lastsMs, LoadListener listener, boolean awake) {
        this.loop = new SocketLoop("spartrail-load", awake);
        this.sockets = new HttpClientTransport(loop);
        this.plan = plan;
        this.lastsMs = lastsMs;
        this.generator = new LoadGenerator(plan, arrivals, sockets, recorder, listener);
        rehearse(plan);
        this.startMs = loop.nowMs();
        sockets.drive(generator, plan);
    }

    /**
     * Warms up the JVM by playing the start of the plan on a virtual clock: without it the generator would be tens of milliseconds late
     * in its first second, which would make a short run unfit.
     */
    private static void rehearse(LoadPlan plan) {
        long untilNs = System.nanoTime() + REHEARSED_NS;
        while (System.nanoTime() < untilNs) {
            Iterator<Arrival> all = plan.arrivals();
            Iterator<Arrival> some = new Iterator<>() {
                private int left = REHEARSED;

                @Override
                public boolean hasNext() {
                    return left > 0 && all.hasNext();
                }

                @Override
                public Arrival next() {
                    left--;
                    return all.next();
                }
            };
            VirtualClientTransport virtual = new VirtualClientTransport((number, atMs) -> atMs + 1);
            virtual.play(new LoadGenerator(plan, some, virtual, new Recorder(), LoadListener.NONE));
        }
    }

    /** Waits until all is over, at most so long; whether it is. */
    public boolean await(double ms) throws InterruptedException {
        double untilMs = loop.nowMs() + ms;
        while (true) {
            boolean[] over = new boolean[1];
            loop.call(() -> over[0] = generator.over());
            if (over[0]) {
                return true;
            }
            if (loop.nowMs() >= untilMs) {
                return false;
            }
            Thread.sleep(10);
        }
    }

    /** Nothing further is sent; the report will say why. */
    public void stop(String why) {
        loop.execute(() -> generator.stop(why));
    }

    public Snapshot snapshot() {
        Snapshot[] snapshot = new Snapshot[1];
        loop.call(() -> {
            Histogram all = recorder.total(kind -> true, true);
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
                    all.getValueAtPercentile(50) / 1000.0,
                    all.getValueAtPercentile(99) / 1000.0,
                    recorder.lag.getValueAtPercentile(99) / 1000.0,
                    kinds);
        });
        return snapshot[0];
    }

    public ObjectNode report() {
        ObjectNode[] tree = new ObjectNode[1];
        loop.call(() -> tree[0] = LoadReport.tree(plan, recorder, generator.fault(), loop.nowMs() - startMs));
        return tree[0];
    }

    /** The longest standstill of a session that is awake, since it was last asked. */
    public double takeLongestPauseMs() {
        return loop.takeLongestPauseMs();
    }

    public Recorder recorder() {
        return recorder;
    }

    @Override
    public void close() {
        sockets.close();
        loop.close();
    }
}
