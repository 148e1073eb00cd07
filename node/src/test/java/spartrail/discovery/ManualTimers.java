package spartrail.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Timers whose time passes only when a test advances it; timers that become due run on the I/O thread in order. */
final class ManualTimers implements IoTimers {
    private record Timer(long atNs, Runnable task) {}

    private final XnioIoThread io;
    private final List<Timer> timers = new ArrayList<>();
    private long nowNs;

    ManualTimers(XnioIoThread io) {
        this.io = io;
    }

    @Override
    public XnioExecutor.Key schedule(long ms, Runnable task) {
        Timer timer = new Timer(nowNs + ms * 1_000_000, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public long nanoTime() {
        return nowNs;
    }

    /** Advances the time by {@code ms} milliseconds; returns when all timers due by then have run. */
    void advance(long ms) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        io.execute(() -> {
            long untilNs = nowNs + ms * 1_000_000;
            for (Timer next = findNextDue(untilNs); next != null; next = findNextDue(untilNs)) {
                timers.remove(next);
                nowNs = Math.max(nowNs, next.atNs);
                next.task.run();
            }
            nowNs = untilNs;
            done.countDown();
        });
        done.await();
    }

    private Timer findNextDue(long untilNs) {
        return timers.stream()
                .filter(timer -> timer.atNs <= untilNs)
                .min(Comparator.comparingLong(Timer::atNs))
                .orElse(null);
    }
}
