package spartrail.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/** Timers, sorted by time and then by the order of scheduling. Each operation costs the logarithm of their number. */
public final class TimerQueue {
    /** An action that is due at a time. */
    public record Timer(double dueMs, long sequence, Runnable action) {}

    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::sequence));
    private long nextSequence;

    /** Schedules an action. */
    public Timer schedule(double dueMs, Runnable action) {
        Timer timer = new Timer(dueMs, nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Schedules an action and adds its timer to its owner's timers, which are cancelled together. */
    public void schedule(double dueMs, Collection<Timer> owned, Runnable action) {
        owned.add(schedule(dueMs, action));
    }

    /**
     * Cancels a timer. A timer that is not cancelled keeps its owner in memory until it is due, long after the owner
     * has ended.
     */
    public void cancel(Timer timer) {
        timers.remove(timer);
    }

    /** Cancels and removes all timers of an owner. */
    public void cancelAll(Collection<Timer> owned) {
        owned.forEach(timers::remove);
        owned.clear();
    }

    /** Returns the number of pending timers. */
    public int size() {
        return timers.size();
    }

    /** Returns the time at which the next timer is due; {@link Double#MAX_VALUE} if there is none. */
    public double nextDueMs() {
        return timers.isEmpty() ? Double.MAX_VALUE : timers.first().dueMs;
    }

    /** Runs the timers that are due, including those that become due meanwhile. */
    public void runDue(double nowMs) {
        while (nextDueMs() <= nowMs) {
            timers.pollFirst().action.run();
        }
    }
}
