package spartrail.client;

import org.xnio.XnioIoThread;
import spartrail.intake.ClientWorkBudget;
import spartrail.intake.RequestQueue;
import spartrail.model.NodeClock;

/**
 * Decides when the I/O thread reads and handles clients' requests, so that it polls all sockets in time. Undertow would
 * handle pipelined requests one after another without a poll between them, and read a request for as long as there are
 * bytes. Runs on the I/O thread only.
 *
 * <pre>
 *              request to be read          buffered request,      poll                       turn
 *                                          or close
 * READY        READY while there is        QUEUED                 READY, budget refilled     -
 *              budget, else QUEUED
 * QUEUED       QUEUED, not read            -                      QUEUED, budget refilled    READY, task run
 * </pre>
 *
 * <p>Each turn is one request, or {@link #MAX_BYTES_PER_TURN} of a longer one. Cost: logarithmic in the queue
 * for each turn.
 */
final class RequestScheduler {
    /** Usual requests take one turn; the longest take some, as reading them takes as long as many usual ones. */
    private static final int MAX_BYTES_PER_TURN = 16 * 1024;

    private final XnioIoThread io;
    private final PollBarrier pollBarrier;
    private final NodeClock clock;
    private final ClientWorkBudget budget = new ClientWorkBudget();
    private final RequestQueue<Turn> queue = new RequestQueue<>();
    /** Counts the polls of all sockets, as far as work for clients lay between them. */
    private long poll;

    private boolean isPollEndQueued;
    private boolean isPollAwaited;
    /** Whether turns are being given; others that queue up meanwhile need no further poll for theirs. */
    private boolean isGivingTurns;

    /** What a connection has been granted. */
    static final class Turn {
        private Runnable onTurn;
        /** The time of the last turn or, if there was none, of the connection's start. */
        private double lastMs;

        private long grantedAtPoll = -1;
        private long bytesLeft;

        Turn(double connectedMs) {
            lastMs = connectedMs;
        }

        /** Whether the connection waits for its turn. */
        boolean isAwaited() {
            return onTurn != null;
        }
    }

    RequestScheduler(XnioIoThread io, PollBarrier pollBarrier, NodeClock clock) {
        this.io = io;
        this.pollBarrier = pollBarrier;
        this.clock = clock;
    }

    /** Whether a request may be read on a connection now; if not, the task runs in the connection's turn. */
    boolean mayRead(Turn turn, Runnable onTurn) {
        if (turn.isAwaited()) {
            return false;
        }
        if (turn.grantedAtPoll != poll && queue.isEmpty() && budget.mayBegin(clock.nowMs())) {
            endPollLater();
            grant(turn);
        }
        if (turn.grantedAtPoll == poll && mayContinue(turn)) {
            return true;
        }
        enqueue(turn, onTurn);
        return false;
    }

    /** Whether a turn goes on: the first read always may, further ones within the limits. */
    private boolean mayContinue(Turn turn) {
        boolean isFirstRead = turn.bytesLeft == MAX_BYTES_PER_TURN;
        return isFirstRead || turn.bytesLeft > 0 && budget.mayBegin(clock.nowMs());
    }

    /** Whether a further connection may be taken over before the next poll. */
    boolean mayTakeOver() {
        return budget.mayBegin(clock.nowMs());
    }

    /** Counts bytes that were read for a request. */
    void countRead(Turn turn, int bytes) {
        turn.bytesLeft -= bytes;
    }

    /** Runs a task in the turn of a connection, in place of the one for which the connection waits. */
    void runInTurn(Turn turn, Runnable onTurn) {
        if (turn.isAwaited()) {
            turn.onTurn = onTurn;
        } else {
            enqueue(turn, onTurn);
        }
    }

    private void grant(Turn turn) {
        turn.lastMs = clock.nowMs();
        turn.grantedAtPoll = poll;
        turn.bytesLeft = MAX_BYTES_PER_TURN;
    }

    private void enqueue(Turn turn, Runnable onTurn) {
        turn.onTurn = onTurn;
        queue.add(turn, turn.lastMs);
        awaitPoll();
    }

    private void awaitPoll() {
        if (!isPollAwaited && !isGivingTurns) {
            isPollAwaited = true;
            pollBarrier.afterPoll(this::onPolled);
        }
    }

    /** Refills the budget once all channels of the current selection were handled, as the next selection follows. */
    private void endPollLater() {
        if (!isPollEndQueued && !isGivingTurns) {
            isPollEndQueued = true;
            io.execute(() -> {
                isPollEndQueued = false;
                refill();
            });
        }
    }

    private void refill() {
        poll++;
        budget.refill();
    }

    private void onPolled() {
        isPollAwaited = false;
        isGivingTurns = true;
        refill();
        giveNextTurn();
    }

    /** Gives turns by one task each, so that what a turn queues for the I/O thread runs before the next one. */
    private void giveNextTurn() {
        Turn next = budget.mayBegin(clock.nowMs()) ? queue.poll() : null;
        if (next == null) {
            isGivingTurns = false;
            if (queue.isEmpty()) {
                refill();
            } else {
                awaitPoll();
            }
            return;
        }
        grant(next);
        Runnable onTurn = next.onTurn;
        next.onTurn = null;
        try {
            onTurn.run();
        } finally {
            // Without this, an exception would leave all that wait without their turns.
            io.execute(this::giveNextTurn);
        }
    }
}
