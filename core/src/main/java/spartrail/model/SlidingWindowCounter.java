package spartrail.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events in a sliding window. Times of events and queries must ascend. Each event is added and removed once. */
public final class SlidingWindowCounter {
    private record Entry(double atMs, int count) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private int total;

    /** Adds a number of events at a time. */
    public void add(double atMs, int count) {
        entries.add(new Entry(atMs, count));
        total += count;
    }

    /** Returns the number of events at this time or later, and discards earlier ones. */
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

    /** Returns the time of the oldest event that is not discarded; infinite if there is none. */
    public double oldestMs() {
        return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.peek().atMs;
    }

    /** Discards all events. */
    public void clear() {
        entries.clear();
        total = 0;
    }
}
