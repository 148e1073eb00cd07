package spartrail.intake;

/**
 * Limits the time that a thread spends on clients' requests between two polls of all its sockets. Beyond it, requests
 * wait for the next poll, so that clients that send without a pause delay timers and other sockets by a bounded time.
 * A turn is one request, or {@link #MAX_BYTES_PER_TURN} of a longer one.
 */
public final class ClientWorkBudget {
    /** A request passes through some five polls, and usual clients wait for tens of milliseconds. */
    static final double MAX_MS_PER_POLL = 1;

    /** Usual requests take one turn; the longest take some, as reading them takes as long as many usual ones. */
    static final int MAX_BYTES_PER_TURN = 16 * 1024;

    /** Clients that connect again as soon as they are closed would otherwise keep the thread from all others. */
    static final int MAX_TAKEOVERS_PER_POLL = 8;

    /** Counts the polls of all sockets, as far as work for clients lay between them. */
    private long poll;
    /** The time at which the first request since the last poll was begun; NaN if there was none. */
    private double begunMs = Double.NaN;

    /** Restores the budget, after all sockets were polled. */
    public void refill() {
        poll++;
        begunMs = Double.NaN;
    }

    /** Whether one more request may be begun now. The first one after a poll always may, however slow the thread is. */
    public boolean mayBegin(double nowMs) {
        if (Double.isNaN(begunMs)) {
            begunMs = nowMs;
        }
        return nowMs - begunMs < MAX_MS_PER_POLL;
    }

    /** Whether a further connection may be taken over, after so many since the last poll. */
    public boolean mayTakeOver(int takeovers, double nowMs) {
        return takeovers == 0 || (takeovers < MAX_TAKEOVERS_PER_POLL && mayBegin(nowMs));
    }

    /** Gives a connection a turn until the next poll. */
    public void grant(ClientTurn turn, double nowMs) {
        turn.lastMs = nowMs;
        turn.grantedAtPoll = poll;
        turn.bytesLeft = MAX_BYTES_PER_TURN;
    }

    /** Whether a connection may be read now: in its turn, which it gets at once if no others wait for theirs. */
    public boolean mayRead(ClientTurn turn, boolean othersWait, double nowMs) {
        if (turn.grantedAtPoll != poll && !othersWait && mayBegin(nowMs)) {
            grant(turn, nowMs);
        }
        return turn.grantedAtPoll == poll && mayContinue(turn, nowMs);
    }

    /** Whether a turn goes on: the first read always may, further ones within the limits. */
    private boolean mayContinue(ClientTurn turn, double nowMs) {
        boolean isFirstRead = turn.bytesLeft == MAX_BYTES_PER_TURN;
        return isFirstRead || (turn.bytesLeft > 0 && mayBegin(nowMs));
    }
}
