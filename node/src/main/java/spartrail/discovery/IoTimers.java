package spartrail.discovery;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The time that a discovery client goes by: the I/O thread's own, or one that a test holds. */
interface IoTimers {
    /** Runs the task on the I/O thread after so long, unless the key is removed before. */
    XnioExecutor.Key after(long ms, Runnable task);

    /** A clock that never steps. */
    long nanoTime();

    /** The I/O thread's timers and the system's monotonic clock. */
    static IoTimers of(XnioIoThread io) {
        return new IoTimers() {
            @Override
            public XnioExecutor.Key after(long ms, Runnable task) {
                return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
            }

            @Override
            public long nanoTime() {
                return System.nanoTime();
            }
        };
    }
}
