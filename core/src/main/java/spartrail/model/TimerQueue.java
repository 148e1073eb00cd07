package spartrail.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/** What is due when, in order of time, then of entry. */
public final class TimerQueue {
    /** What is due at a time. */
    public record Due(double atMs, long number, Runnable what) {}

    private final TreeSet<Due> dues =
            new TreeSet<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::number));
    private long count;

    public Due add(double atMs, Runnable what) {
        Due due = new Due(atMs, count++, what);
        dues.add(due);
        return due;
    }

    /** An entry that is kept among its owner's, to be taken out with them. */
    public void add(double atMs, Collection<Due> owned, Runnable what) {
        owned.add(add(atMs, what));
    }

    /** Danger: what is due long after its owner has ended would keep all that belongs to it until then. */
    public void remove(Due due) {
        dues.remove(due);
    }

    public void removeAll(Collection<Due> owned) {
        owned.forEach(dues::remove);
        owned.clear();
    }

    public int size() {
        return dues.size();
    }

    public double nextMs() {
        return dues.isEmpty() ? Double.MAX_VALUE : dues.first().atMs;
    }

    public void run(double nowMs) {
        while (nextMs() <= nowMs) {
            dues.pollFirst().what.run();
        }
    }
}
