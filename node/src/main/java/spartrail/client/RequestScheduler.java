package spartrail.client;

import org.xnio.XnioIoThread;
import spartrail.intake.ClientTurn;
import spartrail.intake.ClientWorkBudget;
import spartrail.intake.RequestQueue;
import spartrail.model.NodeClock;

/**
 * Has the I/O thread read and handle clients' requests in turns, so that it polls all sockets in time; {@link
 * ClientWorkBudget} and {@link RequestQueue} decide. Undertow would
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
 * <p>Cost: logarithmic in the queue for each turn.
 */
final class RequestScheduler {
    private final XnioIoThread io;
    private final PollBarrier pollBarrier;
    private final NodeClock clock;
    private final ClientWorkBudget budget = new ClientWorkBudget();
    private final RequestQueue<Turn> queue = new RequestQueue<>();
    private boolean isPollEndQueued;
    private boolean isPollAwaited;
    /** Whether turns are being given; others that queue up meanwhile need no further poll for theirs. */
    private boolean isGivingTurns;

    /** A connection's turn, and the task that runs in it while it is awaited. */
    static final class Turn {
        private final ClientTurn granted;
        private Runnable onTurn;

        Turn(double connectedMs) {
            granted = new ClientTurn(connectedMs);
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
        if (budget.mayRead(turn.granted, !queue.isEmpty(), clock.nowMs())) {
            endPollLater();
            return true;
        }
        enqueue(turn, onTurn);
        return false;
    }

    /** Whether a further connection may be taken over, after so many since the last poll. */
    boolean mayTakeOver(int takeovers) {
        return budget.mayTakeOver(takeovers, clock.nowMs());
    }

    /** Counts bytes that were read for a request. */
    void countRead(Turn turn, int bytes) {
        turn.granted.countRead(bytes);
    }

    /** Runs a task in the turn of a connection, in place of the one for which the connection waits. */
    void runInTurn(Turn turn, Runnable onTurn) {
        if (turn.isAwaited()) {
            turn.onTurn = onTurn;
        } else {
            enqueue(turn, onTurn);
        }
    }

    private void enqueue(Turn turn, Runnable onTurn) {
        turn.onTurn = onTurn;
        queue.add(turn, turn.granted.lastMs());
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
                budget.refill();
            });
        }
    }

    private void onPolled() {
        isPollAwaited = false;
        isGivingTurns = true;
        budget.refill();
        giveNextTurn();
    }

    /** Gives turns by one task each, so that what a turn queues for the I/O thread runs before the next one. */
    private void giveNextTurn() {
        Turn next = budget.mayBegin(clock.nowMs()) ? queue.poll() : null;
        if (next == null) {
            isGivingTurns = false;
            if (queue.isEmpty()) {
                budget.refill();
            } else {
                awaitPoll();
            }
            return;
        }
        budget.grant(next.granted, clock.nowMs());
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
