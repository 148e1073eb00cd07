package spartrail.client;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import spartrail.model.NodeClock;

/**
 * Measures once in an interval how long the I/O thread takes until it has read all readable sockets. Every request waits
 * at least as long, several times. Runs on the I/O thread only.
 */
final class PollMonitor {
    private static final System.Logger LOG = System.getLogger("spartrail.client");

    private static final int INTERVAL_MS = 500;
    /** Requests with a usual time limit are in danger beyond this time. */
    private static final double SLOW_POLL_MS = 200;

    private static final double WARNING_INTERVAL_MS = 1000;

    private final PollBarrier pollBarrier;
    private final NodeClock clock;
    private final ClientCounters counters;
    private final XnioExecutor.Key timer;
    /** The time at which the next measurement was due. */
    private double dueMs;

    private boolean isMeasuring;
    private double warnedMs = Double.NEGATIVE_INFINITY;

    PollMonitor(XnioIoThread io, PollBarrier pollBarrier, NodeClock clock, ClientCounters counters) {
        this.pollBarrier = pollBarrier;
        this.clock = clock;
        this.counters = counters;
        dueMs = clock.nowMs() + INTERVAL_MS;
        timer = io.executeAtInterval(this::measure, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void measure() {
        if (!isMeasuring) {
            isMeasuring = true;
            pollBarrier.afterPoll(this::onPolled);
        }
    }

    /** A timer that runs late counts, too, as the thread handles no socket meanwhile. */
    private void onPolled() {
        isMeasuring = false;
        double nowMs = clock.nowMs();
        double tookMs = Math.max(0, nowMs - dueMs);
        dueMs = nowMs + INTERVAL_MS;
        counters.recordPoll(tookMs);
        if (tookMs > SLOW_POLL_MS && nowMs - warnedMs > WARNING_INTERVAL_MS) {
            warnedMs = nowMs;
            LOG.log(
                    System.Logger.Level.WARNING,
                    String.format(Locale.ROOT, "the sockets were not read for %.0f ms; clients: ", tookMs) + counters);
        }
    }

    void close() {
        timer.remove();
    }
}
