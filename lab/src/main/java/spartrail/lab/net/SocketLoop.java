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

/** A thread that runs sockets, timers and tasks. All but {@link #execute}, {@link #call} and {@link #close} is its own. */
public final class SocketLoop implements Runnable, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.lab.net");
    /** Below this the selector's whole milliseconds are too coarse, and the thread naps in between. */
    private static final double FINE_MS = 1.5;

    private static final long NAP_NS = 40_000;
    /** A loop that is awake waits only where nothing is due for so long. */
    private static final double AWAKE_MS = 1000;

    /** What is ready on one channel. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    final ByteBuffer buffer = ByteBuffer.allocateDirect(64 * 1024);
    private final NodeClock clock = new NodeClock();
    private final Selector selector;
    private final TimerQueue timetable = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean ended;
    /** Whether the selector may be waiting, so that a task has to wake it. */
    private volatile boolean waiting;
    /** It never naps before what is due: a nap of 40 microseconds now and then lasts 2 to 6 ms. Costs a core. */
    private final boolean awake;
    /** When an awake loop last looked round without waiting, and the longest it did not. */
    private double lookedMs = Double.NaN;

    private double standstillMs;
    /** Made once: a loop that makes garbage at each round stands still for the collector. */
    private final Runnable due = () -> timetable.runDue(nowMs());

    public SocketLoop(String name) {
        this(name, false);
    }

    /** One that is awake is on time to a tenth of a millisecond where a core is free for it. */
    public SocketLoop(String name, boolean awake) {
        this.awake = awake;
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
     * The longest time for which an awake loop did not look round since it was last asked: the collector's, the scheduler's
     * or its own work's. What is measured by it cannot be truer than that.
     */
    public double standstillMs() {
        double[] longest = new double[1];
        call(() -> {
            longest[0] = standstillMs;
            standstillMs = 0;
        });
        return longest[0];
    }

    public void execute(Runnable task) {
        tasks.add(task);
        if (waiting) {
            selector.wakeup();
        }
    }

    /** Runs a task on the thread and waits until it is done. */
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

    public TimerQueue.Timer at(double ms, Runnable what) {
        return timetable.schedule(ms, what);
    }

    public void cancel(TimerQueue.Timer due) {
        if (due != null) {
            timetable.cancel(due);
        }
    }

    /** Accepts connections until the channel is closed; what is accepted is handed over on this thread. */
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
                listening.register(selector, SelectionKey.OP_ACCEPT, (Ready) key -> {
                    for (int i = 0; i < 256; i++) {
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

    SelectionKey register(SocketChannel channel, int interest, Ready ready) throws IOException {
        return channel.register(selector, interest, ready);
    }

    @Override
    public void run() {
        while (!ended) {
            try {
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    guarded(task);
                }
                guarded(due);
                select();
                if (selector.selectedKeys().isEmpty()) {
                    continue;
                }
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    ready(key);
                }
            } catch (IOException e) {
                LOG.log(System.Logger.Level.ERROR, "selecting failed: " + e.getMessage());
                ended = true;
            }
        }
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing", e);
        }
    }

    private void select() throws IOException {
        double waitMs = timetable.nextDueMs() - nowMs();
        waiting = true;
        try {
            if (waitMs <= 0 || !tasks.isEmpty()) {
                selector.selectNow();
            } else if (awake && waitMs < AWAKE_MS) {
                selector.selectNow();
                double nowMs = nowMs();
                standstillMs = Math.max(standstillMs, Double.isNaN(lookedMs) ? 0 : nowMs - lookedMs);
                lookedMs = nowMs;
            } else if (waitMs < FINE_MS) {
                if (selector.selectNow() == 0 && tasks.isEmpty()) {
                    LockSupport.parkNanos(Math.min(NAP_NS, (long) (1e6 * waitMs)));
                }
            } else {
                lookedMs = Double.NaN;
                selector.select(Math.max(1, (long) Math.min(1000, waitMs - 1)));
            }
        } finally {
            waiting = false;
        }
    }

    private void ready(SelectionKey key) {
        try {
            if (key.isValid()) {
                ((Ready) key.attachment()).ready(key);
            }
        } catch (CancelledKeyException e) {
            // It was closed while others were served.
        } catch (IOException e) {
            // Accepting: out of descriptors, say. Danger: the selector would report it at once again, without end.
            LOG.log(System.Logger.Level.WARNING, "cannot accept a connection: " + e.getMessage());
            LockSupport.parkNanos(1_000_000);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "exception while a socket was served", e);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "exception in a task", e);
        }
    }

    /** Ends the thread and closes all that it has. */
    @Override
    public void close() {
        ended = true;
        selector.wakeup();
        try {
            if (Thread.currentThread() != thread) {
                thread.join(5000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
