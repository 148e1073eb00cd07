package spartrail.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/** Timers in order of time, then of scheduling. Each operation costs the logarithm of their number. */
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

    /** Schedules an action and adds its timer to those of its owner, to be cancelled with them. */
    public void schedule(double dueMs, Collection<Timer> owned, Runnable action) {
        owned.add(schedule(dueMs, action));
    }

    /** Cancels a timer. One that is due long after its owner has ended would keep the owner in memory until then. */
    public void cancel(Timer timer) {
        timers.remove(timer);
    }

    /** Cancels and removes all timers of an owner. */
    public void cancelAll(Collection<Timer> owned) {
        owned.forEach(timers::remove);
        owned.clear();
    }

    /** The number of timers that are pending. */
    public int size() {
        return timers.size();
    }

    /** When the next timer is due; {@link Double#MAX_VALUE} without one. */
    public double nextDueMs() {
        return timers.isEmpty() ? Double.MAX_VALUE : timers.first().dueMs;
    }

    /** Runs the timers that are due, those that become due meanwhile too. */
    public void runDue(double nowMs) {
        while (nextDueMs() <= nowMs) {
            timers.pollFirst().action.run();
        }
    }
}
