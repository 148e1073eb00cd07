package spartrail.peers;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import spartrail.model.TimerQueue;

/**
 * State shared by the classes of one node's membership: settings, random numbers, timers, the current time and
 * counters.
 */
final class MembershipContext {
    private final GossipTimings timings;
    private final RandomGenerator random;
    private final TimerQueue timers = new TimerQueue();
    private final Map<String, Long> counters = new TreeMap<>();
    private double nowMs;

    MembershipContext(GossipTimings timings, RandomGenerator random, double nowMs) {
        this.timings = timings;
        this.random = random;
        this.nowMs = nowMs;
    }

    GossipTimings timings() {
        return timings;
    }

    RandomGenerator random() {
        return random;
    }

    double nowMs() {
        return nowMs;
    }

    /** Advances the current time; an earlier time is ignored. */
    void advanceTo(double atMs) {
        nowMs = Math.max(nowMs, atMs);
    }

    TimerQueue.Timer schedule(double atMs, Runnable task) {
        return timers.schedule(atMs, task);
    }

    void cancel(TimerQueue.Timer timer) {
        timers.cancel(timer);
    }

    double nextTimerMs() {
        return timers.nextDueMs();
    }

    void runTimers(double atMs) {
        timers.runDue(atMs);
    }

    void increment(MembershipCounter counter) {
        counters.merge(counter.label(), 1L, Long::sum);
    }

    Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }
}
