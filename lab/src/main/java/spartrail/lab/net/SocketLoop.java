package spartrail.lab.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;

/**
 * An event loop for sockets, timers and tasks on its own thread. Other threads may call only {@link #execute},
 * {@link #call} and {@link #close}.
 */
public final class SocketLoop implements Runnable, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.lab.net");
    /** The selector waits in whole milliseconds; for shorter waits the thread parks instead. */
    private static final double SELECTOR_RESOLUTION_MS = 1.5;

    private static final int MAX_ACCEPTS_PER_EVENT = 256;
    private static final long MAX_SELECT_MS = 1000;
    private static final long CLOSE_TIMEOUT_MS = 5000;
    private static final long ACCEPT_FAILURE_PAUSE_NS = 1_000_000;
    private static final long PARK_NS = 40_000;
    /** A busy-polling loop blocks only if no timer is due within this time. */
    private static final double MAX_BUSY_WAIT_MS = 1000;

    /** Handles the events of one channel. */
    interface ChannelHandler {
        void handle(SelectionKey key) throws IOException;
    }

    final ByteBuffer buffer = ByteBuffer.allocateDirect(64 * 1024);
    private final NodeClock clock = new NodeClock();
    private final Selector selector;
    private final TimerQueue timers = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean isClosed;
    /** Whether the selector may be blocked, in which case a new task has to wake it. */
    private volatile boolean isSelecting;
    /** Whether the loop spins before a timer: even a short park can last some milliseconds. This occupies a core. */
    private final boolean busyWaiting;
    /** When a busy-waiting loop last polled its sockets; NaN after it has blocked. */
    private double lastPollMs = Double.NaN;

    /** The longest time between two polls of a busy-waiting loop. */
    private double longestPauseMs;
    /** Allocated once: garbage from each iteration would cause collector pauses. */
    private final Runnable runTimers = () -> timers.runDue(nowMs());

    /** Starts a loop that parks between events; {@code name} is the name of its thread. */
    public SocketLoop(String name) {
        this(name, false);
    }

    /** Starts a loop. A busy-waiting one with a core for itself runs timers on time to a tenth of a millisecond. */
    public SocketLoop(String name, boolean busyWaiting) {
        this.busyWaiting = busyWaiting;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Unix time in milliseconds with fractions, which never steps. */
    public double nowMs() {
        return clock.nowMs();
    }

    /**
     * The longest time since the last call for which a busy-waiting loop did not poll, because of the collector, the
     * scheduler or its own work. Times measured on this loop are no more accurate than that.
     */
    public double takeLongestPauseMs() {
        double[] longest = new double[1];
        call(() -> {
            longest[0] = longestPauseMs;
            longestPauseMs = 0;
        });
        return longest[0];
    }

    /** Runs a task on the loop's thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        if (isSelecting) {
            selector.wakeup();
        }
    }

    /** Runs a task on the loop's thread and waits until it is done; rethrows what it throws. */
    public void call(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        RuntimeException[] failed = new RuntimeException[1];
        execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                failed[0] = e;
            } finally {
                done.countDown();
            }
        });
        try {
            while (!done.await(100, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                if (!thread.isAlive()) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failed[0] != null) {
            throw failed[0];
        }
    }

    /** Runs a task at the given time of the clock of {@link #nowMs}. */
    public TimerQueue.Timer schedule(double atMs, Runnable task) {
        return timers.schedule(atMs, task);
    }

    /** Cancels a timer; null is ignored. */
    public void cancel(TimerQueue.Timer timer) {
        if (timer != null) {
            timers.cancel(timer);
        }
    }

    /** Listens until the returned channel is closed; accepted connections are passed on by the loop's thread. */
    public ServerSocketChannel listen(InetSocketAddress address, int backlog, Consumer<SocketChannel> accepted)
            throws IOException {
        ServerSocketChannel listening = ServerSocketChannel.open();
        try {
            listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listening.bind(address, backlog);
            listening.configureBlocking(false);
        } catch (IOException e) {
            listening.close();
            throw e;
        }
        execute(() -> {
            try {
                listening.register(selector, SelectionKey.OP_ACCEPT, (ChannelHandler) key -> {
                    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
                        SocketChannel channel = listening.accept();
                        if (channel == null) {
                            return;
                        }
                        channel.configureBlocking(false);
                        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                        accepted.accept(channel);
                    }
                });
            } catch (IOException | java.nio.channels.IllegalBlockingModeException e) {
                LOG.log(System.Logger.Level.WARNING, "cannot accept on " + address + ": " + e.getMessage());
            }
        });
        return listening;
    }

    SelectionKey register(SocketChannel channel, int interest, ChannelHandler handler) throws IOException {
        return channel.register(selector, interest, handler);
    }

    @Override
    public void run() {
        while (!isClosed) {
            try {
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    runGuarded(task);
                }
                runGuarded(runTimers);
                select();
                if (selector.selectedKeys().isEmpty()) {
                    continue;
                }
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    handleEvent(key);
                }
            } catch (IOException e) {
                LOG.log(System.Logger.Level.ERROR, "selector failed: " + e.getMessage() + "; the socket loop ends");
                isClosed = true;
            }
        }
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "exception while the socket loop was closed", e);
        }
    }

    private void select() throws IOException {
        double waitMs = timers.nextDueMs() - nowMs();
        isSelecting = true;
        try {
            if (waitMs <= 0 || !tasks.isEmpty()) {
                selector.selectNow();
            } else if (busyWaiting && waitMs < MAX_BUSY_WAIT_MS) {
                selector.selectNow();
                double nowMs = nowMs();
                longestPauseMs = Math.max(longestPauseMs, Double.isNaN(lastPollMs) ? 0 : nowMs - lastPollMs);
                lastPollMs = nowMs;
            } else if (waitMs < SELECTOR_RESOLUTION_MS) {
                if (selector.selectNow() == 0 && tasks.isEmpty()) {
                    LockSupport.parkNanos(Math.min(PARK_NS, (long) (1e6 * waitMs)));
                }
            } else {
                lastPollMs = Double.NaN;
                selector.select(Math.max(1, (long) Math.min(MAX_SELECT_MS, waitMs - 1)));
            }
        } finally {
            isSelecting = false;
        }
    }

    private void handleEvent(SelectionKey key) {
        try {
            if (key.isValid()) {
                ((ChannelHandler) key.attachment()).handle(key);
            }
        } catch (CancelledKeyException e) {
            // The key was cancelled while another channel was handled.
        } catch (IOException e) {
            // Accepting failed, for instance because no descriptor is free. Without a pause the loop would spin, since
            // the selector reports the connection again at once.
            LOG.log(
                    System.Logger.Level.WARNING,
                    "cannot accept a connection: " + e.getMessage() + "; trying again in 1 ms");
            LockSupport.parkNanos(ACCEPT_FAILURE_PAUSE_NS);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "exception while a socket event was handled", e);
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "exception in a task of the socket loop", e);
        }
    }

    /** Ends the thread and closes its channels. */
    @Override
    public void close() {
        isClosed = true;
        selector.wakeup();
        try {
            if (Thread.currentThread() != thread) {
                thread.join(CLOSE_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
