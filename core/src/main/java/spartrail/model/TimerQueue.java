package spartrail.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/** What is due when, in order of time, then of entry. */
public final class TimerQueue {
    /** What is due at a time. */
    public record Timer(double dueMs, long sequence, Runnable action) {}

    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::sequence));
    private long nextSequence;

    public Timer schedule(double dueMs, Runnable action) {
        Timer timer = new Timer(dueMs, nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** An entry that is kept among its owner's, to be taken out with them. */
    public void schedule(double dueMs, Collection<Timer> owned, Runnable action) {
        owned.add(schedule(dueMs, action));
    }

    /** Danger: what is due long after its owner has ended would keep all that belongs to it until then. */
    public void cancel(Timer timer) {
        timers.remove(timer);
    }

    public void cancelAll(Collection<Timer> owned) {
        owned.forEach(timers::remove);
        owned.clear();
    }

    public int size() {
        return timers.size();
    }

    public double nextDueMs() {
        return timers.isEmpty() ? Double.MAX_VALUE : timers.first().dueMs;
    }

    public void runDue(double nowMs) {
        while (nextDueMs() <= nowMs) {
            timers.pollFirst().action.run();
        }
    }
}
