package spartrail.shard;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import spartrail.model.Invariants;
import spartrail.model.NodeClock;

/**
 * Whether a frame may begin now, by what is known of the sockets. All of it runs on the I/O thread.
 *
 * <pre>
 *            endpoint update read    update applied by the loop             frame wants to begin
 * OPEN       on to HELD              -                                      begins, if decision or last poll is recent; else POLLING
 * POLLING    on to HELD as well      -                                      waits; all write when the sockets have been gone through
 * HELD       one more to wait for    on to OPEN with the last, all write    waits
 * </pre>
 *
 * <p>POLLING: a process that was paused goes on where it was, with a decision that is old, before it reads that the server drains. So
 * such a frame waits until all sockets have been gone through.
 */
final class FrameGate {
    /** Every time limit of the rules is longer by 50 ms on sockets; a frame goes by nothing older than this. */
    private static final double MIN_POLL_AGE_LIMIT_MS = 40;
    /** A process so slow that each poll takes longer than the limit begins frames all the same after so many. */
    private static final int MAX_POLLS = 5;

    private static final long POLL_DELAY_MS = 1;

    private final XnioIoThread io;
    private final NodeClock clock;
    private final Invariants invariants;
    private final Runnable onOpened;
    private double pollAgeLimitMs;
    /** Endpoint updates that were read and not yet applied by the loop. */
    private int pendingEndpointUpdates;
    /** When what waited in the sockets was last read. */
    private double lastPollMs = Double.NEGATIVE_INFINITY;

    private boolean polling;

    FrameGate(XnioIoThread io, NodeClock clock, Invariants invariants, Runnable onOpened) {
        this.io = io;
        this.clock = clock;
        this.invariants = invariants;
        this.onOpened = onOpened;
    }

    /** Nothing is sent to a server that drains after this grace, so half of it bounds how old a poll may be. */
    void setGrace(double graceMs) {
        pollAgeLimitMs = Math.max(MIN_POLL_AGE_LIMIT_MS, graceMs / 2);
    }

    /** An endpoint update was read: no frame begins until the loop has applied it. */
    void hold() {
        pendingEndpointUpdates++;
    }

    /** So many updates have been applied, and what they end has been taken back. */
    void release(int updates) {
        pendingEndpointUpdates -= updates;
        invariants.check(pendingEndpointUpdates >= 0, "no list is taken that was not read");
        onOpened.run();
    }

    /** Whether a frame that was decided then may begin now; where it may not yet, all frames are tried again. */
    boolean mayBegin(double decidedMs) {
        return pendingEndpointUpdates == 0 && isPollRecent(decidedMs);
    }

    private boolean isPollRecent(double decidedMs) {
        if (clock.nowMs() - Math.max(decidedMs, lastPollMs) <= pollAgeLimitMs) {
            return true;
        }
        if (!polling) {
            polling = true;
            pollSockets(1);
        }
        return false;
    }

    /** The I/O thread reads what is ready between its timers; the first may still come before that, or a pause after it. */
    private void pollSockets(int polls) {
        double fromMs = clock.nowMs();
        io.executeAfter(() -> onPolled(polls, fromMs), POLL_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void onPolled(int polls, double fromMs) {
        boolean paused = clock.nowMs() - fromMs > pollAgeLimitMs;
        boolean mayPollAgain = polls < MAX_POLLS;
        if (polls == 1 || (paused && mayPollAgain)) {
            pollSockets(polls + 1);
            return;
        }
        polling = false;
        lastPollMs = paused ? clock.nowMs() : fromMs;
        onOpened.run();
    }
}
