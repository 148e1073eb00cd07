package spartrail.shard;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import spartrail.model.Invariants;
import spartrail.model.NodeClock;

/**
 * Decides whether a frame may begin, so that no frame is written on the basis of outdated information. Runs on the I/O
 * thread only.
 *
 * <pre>
 *            endpoint update read    loop has applied an update       a frame is to begin
 * OPEN       to HELD                 -                                begins if its decision or the last poll is
 *                                                                     recent; else to POLLING
 * POLLING    also HELD               -                                waits; all connections write after the poll
 * HELD       waits for one more      after the last update: to OPEN,  waits
 *                                    all connections write
 * </pre>
 *
 * <p>POLLING is for a process that was paused: it resumes with an old decision, and may not have read yet that the
 * server drains. So such a frame waits until all sockets have been read.
 */
final class FrameGate {
    /** The rules allow 50 ms more on sockets for each time limit, so a frame may use information of up to this age. */
    private static final double MIN_POLL_AGE_LIMIT_MS = 40;
    /**
     * After so many polls, frames begin even if each poll took longer than the age limit, as on a very slow machine.
     */
    private static final int MAX_POLLS = 5;

    private static final long POLL_DELAY_MS = 1;

    private final XnioIoThread io;
    private final NodeClock clock;
    private final Invariants invariants;
    private final Runnable onOpened;
    private double pollAgeLimitMs;
    /** The number of endpoint updates that were read and that the loop has not applied yet. */
    private int pendingEndpointUpdates;
    /** The time of the last poll: all bytes that arrived before it have been read. */
    private double lastPollMs = Double.NEGATIVE_INFINITY;

    private boolean polling;

    FrameGate(XnioIoThread io, NodeClock clock, Invariants invariants, Runnable onOpened) {
        this.io = io;
        this.clock = clock;
        this.invariants = invariants;
        this.onOpened = onOpened;
    }

    /** Sets the age limit of a poll: half of the grace, after which nothing may be sent to a draining server. */
    void setGrace(double graceMs) {
        pollAgeLimitMs = Math.max(MIN_POLL_AGE_LIMIT_MS, graceMs / 2);
    }

    /** Holds frames back after an endpoint update was read, until the loop has applied it. */
    void hold() {
        pendingEndpointUpdates++;
    }

    /** Counts updates as applied, after the attempts to their servers have been withdrawn. */
    void release(int updates) {
        pendingEndpointUpdates -= updates;
        invariants.check(pendingEndpointUpdates >= 0, "only endpoint updates that were read are applied");
        onOpened.run();
    }

    /** Whether a frame decided at this time may begin now; if not, all connections try to write again later. */
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

    /**
     * Starts a timer: the I/O thread reads ready sockets between two timers. The first timer may run before any read,
     * so a second one follows it.
     */
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
