package spartrail.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Time stands still until a test lets it pass; what is due then runs on the I/O thread, in order. */
final class ManualTimers implements IoTimers {
    private record Due(long atNs, Runnable task) {}

    private final XnioIoThread io;
    private final List<Due> dues = new ArrayList<>();
    private long nowNs;

    ManualTimers(XnioIoThread io) {
        this.io = io;
    }

    @Override
    public XnioExecutor.Key after(long ms, Runnable task) {
        Due due = new Due(nowNs + ms * 1_000_000, task);
        dues.add(due);
        return () -> dues.remove(due);
    }

    @Override
    public long nanoTime() {
        return nowNs;
    }

    /** Lets so much time pass, and returns when all that was due has run. */
    void pass(long ms) throws InterruptedException {
        CountDownLatch passed = new CountDownLatch(1);
        io.execute(() -> {
            long untilNs = nowNs + ms * 1_000_000;
            for (Due next = next(untilNs); next != null; next = next(untilNs)) {
                dues.remove(next);
                nowNs = Math.max(nowNs, next.atNs);
                next.task.run();
            }
            nowNs = untilNs;
            passed.countDown();
        });
        passed.await();
    }

    private Due next(long untilNs) {
        return dues.stream()
                .filter(due -> due.atNs <= untilNs)
                .min(Comparator.comparingLong(Due::atNs))
                .orElse(null);
    }
}
