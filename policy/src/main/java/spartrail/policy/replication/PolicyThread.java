package spartrail.policy.replication;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** The thread that owns a node's policy state. Each round runs the submitted tasks, the due timers and one step. */
final class PolicyThread implements RaftReplica.ExecutionContext, AutoCloseable {
    /** The work that the thread does besides submitted tasks. */
    interface Work {
        /** Runs before the first round. */
        void begin();

        /** Runs at the end of each round; cheap if nothing is due. */
        void step();

        /** The time at which the next step is due. */
        double nextStepAtMs();

        /** Runs after the last round. */
        void end();
    }

    private static final System.Logger LOG = System.getLogger("spartrail.policy");
    private static final double MAX_WAIT_MS = 50;
    private static final double NANOS_PER_MS = 1e6;
    private static final int MAX_QUEUED_MESSAGES = 10_000;
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private record Timer(double atMs, long number, Runnable task) {}

    private final DoubleSupplier clockMs;
    private final Work work;
    private final Thread thread;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::atMs).thenComparingLong(Timer::number));
    private long timerCount;
    private volatile boolean closed;

    /** Creates the thread with the clock that the node's decisions use. */
    PolicyThread(DoubleSupplier clockMs, Work work) {
        this.clockMs = clockMs;
        this.work = work;
        this.thread = new Thread(this::run, "spartrail-policy");
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    // ---- Called from any thread ----

    @Override
    public void execute(Runnable task) {
        queue.add(task);
    }

    @Override
    public void submit(Runnable task) {
        queue.add(task);
    }

    /** Queues the task of a message; drops it if the queue is full, as a message may be lost in any case. */
    void submitMessage(Runnable task) {
        if (queue.size() < MAX_QUEUED_MESSAGES) {
            queue.add(task);
        }
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        double atMs = clockMs.getAsDouble() + unit.toNanos(delay) / NANOS_PER_MS;
        queue.add(() -> timers.add(new Timer(atMs, timerCount++, task)));
    }

    /** A monotonic clock for the Raft library. */
    @Override
    public Clock clock() {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli((long) clockMs.getAsDouble());
            }
        };
    }

    @Override
    public void close() {
        closed = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- On this thread ----

    private void run() {
        runSafely(work::begin);
        while (!closed) {
            try {
                runQueued();
                runTimers();
                runSafely(work::step);
            } catch (InterruptedException e) {
                closed = true;
            }
        }
        work.end();
    }

    private void runQueued() throws InterruptedException {
        double nextTimerMs =
                timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().atMs();
        double dueMs = Math.min(nextTimerMs, work.nextStepAtMs());
        double waitMs = Math.max(0, Math.min(MAX_WAIT_MS, dueMs - clockMs.getAsDouble()));
        Runnable task = queue.poll((long) (NANOS_PER_MS * waitMs), TimeUnit.NANOSECONDS);
        while (task != null) {
            runSafely(task);
            task = queue.poll();
        }
    }

    private void runTimers() {
        while (!timers.isEmpty() && timers.peek().atMs() <= clockMs.getAsDouble()) {
            runSafely(timers.poll().task());
        }
    }

    /** Runs a task and logs its exception, so that a failed task does not stop the thread. */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "uncaught exception on the policy thread; its other tasks continue", e);
        }
    }
}
