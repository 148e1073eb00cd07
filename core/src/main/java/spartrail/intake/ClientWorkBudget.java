package spartrail.intake;

/**
 * Limits the time that a thread spends on clients' requests between two polls of all its sockets. Beyond it, requests
 * wait for the next poll, so that clients that send without a pause delay timers and other sockets by a bounded time.
 */
public final class ClientWorkBudget {
    /** A request passes through some five polls, and usual clients wait for tens of milliseconds. */
    static final double MAX_MS_PER_POLL = 1;

    /** The time at which the first request since the last poll was begun; NaN if there was none. */
    private double begunMs = Double.NaN;

    /** Restores the budget, after all sockets were polled. */
    public void refill() {
        begunMs = Double.NaN;
    }

    /** Whether one more request may be begun now. The first one after a poll always may, however slow the thread is. */
    public boolean mayBegin(double nowMs) {
        if (Double.isNaN(begunMs)) {
            begunMs = nowMs;
        }
        return nowMs - begunMs < MAX_MS_PER_POLL;
    }
}
