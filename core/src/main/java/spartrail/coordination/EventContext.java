package spartrail.coordination;

import spartrail.model.Decisions;
import spartrail.model.TimerQueue;

/**
 * What the collaborators of one coordinator share while an event is handled: its time, the decisions that it leads to, and the
 * timers. Also detects that the process itself was paused.
 */
final class EventContext {
    /** Interval of the periodic work over all servers. */
    static final double TICK_INTERVAL_MS = 100;

    final TimerQueue timers = new TimerQueue();
    private Decisions decisions = new Decisions();
    private double nowMs;
    private double loopIntervalMs = 1;
    private double expectedWakeMs = Double.MAX_VALUE;
    private double resumedMs = Double.NEGATIVE_INFINITY;

    void setLoopIntervalMs(double intervalMs) {
        loopIntervalMs = intervalMs;
    }

    /** Starts an event: decisions are collected anew. */
    void beginEvent(double eventMs) {
        nowMs = eventMs;
        if (nowMs > expectedWakeMs + TICK_INTERVAL_MS) {
            resumedMs = nowMs;
        }
        expectedWakeMs = Double.MAX_VALUE;
        decisions = new Decisions();
    }

    /** The time until the next timer or this tick, whichever comes first; a later next event shows a pause of the process. */
    double timeToNextTimerMs(double atMs, double nextTickMs) {
        expectedWakeMs = Math.max(atMs, Math.min(nextTickMs, timers.nextDueMs()));
        return expectedWakeMs - atMs;
    }

    double nowMs() {
        return nowMs;
    }

    Decisions decisions() {
        return decisions;
    }

    /** The shortest time between two iterations of the caller's event loop. */
    double loopIntervalMs() {
        return loopIntervalMs;
    }

    /** Whether this is the event that ended a pause of the process. */
    boolean isResuming() {
        return nowMs == resumedMs;
    }

    /**
     * Whether the process was paused less than a tick ago. It then finds all that arrived meanwhile at once, some of it behind
     * its own timers, and would take its own pause for slow servers; until the tick is over it only takes answers.
     */
    boolean hasJustResumed() {
        return nowMs < resumedMs + TICK_INTERVAL_MS;
    }
}
