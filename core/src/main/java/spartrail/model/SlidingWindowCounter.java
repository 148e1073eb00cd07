package spartrail.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events in a sliding window. Times are added and asked for in ascending order; each event is touched twice. */
public final class SlidingWindowCounter {
    private record Entry(double atMs, int count) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private int total;

    /** Adds events at a time. */
    public void add(double atMs, int count) {
        entries.add(new Entry(atMs, count));
        total += count;
    }

    /** The events at this time or later; earlier ones are discarded. */
    public int countSince(double fromMs) {
        discardBefore(fromMs);
        return total;
    }

    /** Discards the events before this time. */
    public void discardBefore(double beforeMs) {
        while (!entries.isEmpty() && entries.peek().atMs < beforeMs) {
            total -= entries.poll().count;
        }
    }

    /** Time of the oldest event that is not discarded; infinite without one. */
    public double oldestMs() {
        return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.peek().atMs;
    }

    /** Discards all events. */
    public void clear() {
        entries.clear();
        total = 0;
    }
}
