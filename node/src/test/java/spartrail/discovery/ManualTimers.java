package spartrail.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Time stands still until a test lets it pass; what is due then runs on the I/O thread, in order. */
final class ManualTimers implements IoTimers {
    private record Timer(long atNs, Runnable task) {}

    private final XnioIoThread io;
    private final List<Timer> timers = new ArrayList<>();
    private long nowNs;

    ManualTimers(XnioIoThread io) {
        this.io = io;
    }

    @Override
    public XnioExecutor.Key after(long ms, Runnable task) {
        Timer timer = new Timer(nowNs + ms * 1_000_000, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public long nanoTime() {
        return nowNs;
    }

    /** Advances the time by so much, and returns when all that was due has run. */
    void advance(long ms) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        io.execute(() -> {
            long untilNs = nowNs + ms * 1_000_000;
            for (Timer next = next(untilNs); next != null; next = next(untilNs)) {
                timers.remove(next);
                nowNs = Math.max(nowNs, next.atNs);
                next.task.run();
            }
            nowNs = untilNs;
            done.countDown();
        });
        done.await();
    }

    private Timer next(long untilNs) {
        return timers.stream()
                .filter(timer -> timer.atNs <= untilNs)
                .min(Comparator.comparingLong(Timer::atNs))
                .orElse(null);
    }
}
