package spartrail.discovery;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The timers and the clock of a discovery client; tests replace them to control the time. */
interface IoTimers {
    /** Runs the task on the I/O thread after {@code ms} milliseconds, unless the returned key is removed before. */
    XnioExecutor.Key schedule(long ms, Runnable task);

    /** A monotonic clock, in nanoseconds. */
    long nanoTime();

    /** Returns the timers of the I/O thread with the monotonic clock of the system. */
    static IoTimers of(XnioIoThread io) {
        return new IoTimers() {
            @Override
            public XnioExecutor.Key schedule(long ms, Runnable task) {
                return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
            }

            @Override
            public long nanoTime() {
                return System.nanoTime();
            }
        };
    }
}
