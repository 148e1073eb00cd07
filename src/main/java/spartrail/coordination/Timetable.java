package spartrail.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is due when, in order of time, then of entry. */
public final class Timetable {
    private record Due(double atMs, long number, Runnable what) {
    }

    private final PriorityQueue<Due> dues =
            new PriorityQueue<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::number));
    private long count;

    public void add(double atMs, Runnable what) {
        dues.add(new Due(atMs, count++, what));
    }

    public double nextMs() {
        return dues.isEmpty() ? Double.MAX_VALUE : dues.peek().atMs;
    }

    public void run(double nowMs) {
        while (nextMs() <= nowMs) {
            dues.poll().what.run();
        }
    }
}
