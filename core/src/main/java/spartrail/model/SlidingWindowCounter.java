package spartrail.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts by time, of which those before a time are dropped. */
public final class SlidingWindowCounter {
    private record Entry(double atMs, int count) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private int total;

    public void add(double atMs, int count) {
        entries.add(new Entry(atMs, count));
        total += count;
    }

    /** Counts at this time or later; earlier ones are forgotten. */
    public int countSince(double fromMs) {
        discardBefore(fromMs);
        return total;
    }

    public void discardBefore(double beforeMs) {
        while (!entries.isEmpty() && entries.peek().atMs < beforeMs) {
            total -= entries.poll().count;
        }
    }

    /** Time of the first count that is not forgotten; infinite without one. */
    public double oldestMs() {
        return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.peek().atMs;
    }

    public void clear() {
        entries.clear();
        total = 0;
    }
}
