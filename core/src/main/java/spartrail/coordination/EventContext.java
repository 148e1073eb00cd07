package spartrail.coordination;

import spartrail.model.Decisions;
import spartrail.model.TimerQueue;

/**
 * State that the classes of one coordinator share while an event is handled: the time of the event, the decisions made
 * for it, and the timers. Also detects that the process itself was paused.
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

    /** Starts an event, with no decisions yet. */
    void beginEvent(double eventMs) {
        nowMs = eventMs;
        if (nowMs > expectedWakeMs + TICK_INTERVAL_MS) {
            resumedMs = nowMs;
        }
        expectedWakeMs = Double.MAX_VALUE;
        decisions = new Decisions();
    }

    /**
     * Returns the time until the next timer or the next tick, whichever comes first. If the next event comes much later
     * than that, the process was paused.
     */
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

    /** Returns the shortest time between two iterations of the caller's event loop. */
    double loopIntervalMs() {
        return loopIntervalMs;
    }

    /** Whether this event is the first one after a pause of the process. */
    boolean isResuming() {
        return nowMs == resumedMs;
    }

    /**
     * Whether a pause of the process ended less than a tick ago. Messages that arrived during the pause are then
     * handled all at once, some of them after timers that were due later, and the pause would look like slow servers.
     * Until a tick has passed, answers are accepted but are not used to judge servers.
     */
    boolean hasJustResumed() {
        return nowMs < resumedMs + TICK_INTERVAL_MS;
    }
}
