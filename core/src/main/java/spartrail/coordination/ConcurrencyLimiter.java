package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.OpType;
import spartrail.model.Server;

/**
 * Sets the concurrency limit of each server. A quick answer raises a limit by one if the limit is reached; an attempt
 * that timed out or was rejected by a full server halves it. The queues at the servers are not in release order, so
 * they are kept short.
 */
final class ConcurrencyLimiter {
    private static final int INITIAL_LIMIT = 4;
    private static final int INITIAL_WARM_UP_LIMIT = 2;
    /** An answer raises the limit only if it took at most this many times the unloaded latency. */
    private static final double GROWTH_LATENCY_RATIO = 2;
    /** An attempt that took more than this share of its latency objective counts as timed out. */
    private static final double TIMEOUT_OBJECTIVE_SHARE = 0.15;

    private final EventContext context;
    private final SlowStart slowStart;

    ConcurrencyLimiter(EventContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Sets the initial limit of a server process that nothing is known about. */
    void reset(Server server) {
        server.concurrencyLimit = slowStart.isWarmingUp(server) ? INITIAL_WARM_UP_LIMIT : INITIAL_LIMIT;
    }

    /**
     * Adjusts the limit for an outcome. An attempt that was sent before the last halving does not halve the limit
     * again.
     */
    void recordOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        Server server = attempt.server;
        OpType op = attempt.part.multiget.opType;
        boolean overloaded = outcome == Attempt.Outcome.FULL || isTimeout(attempt, outcome, tookMs);
        if (overloaded && attempt.sentMs >= server.limitHalvedMs) {
            server.concurrencyLimit = Math.max(1, server.concurrencyLimit / 2);
            server.limitHalvedMs = context.nowMs();
        } else if (outcome == Attempt.Outcome.ANSWERED
                && tookMs <= GROWTH_LATENCY_RATIO * op.latency.unloadedLatencyMs
                && server.inFlight.size() + 1 >= server.concurrencyLimit) {
            server.concurrencyLimit++;
        }
    }

    /**
     * Whether an outcome counts as a timeout. An attempt that ended in another way without an answer does not count if
     * the server has answered a later one: its part may have been lost, which says nothing about a queue at the server.
     */
    private static boolean isTimeout(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        if (outcome == Attempt.Outcome.TIMED_OUT) {
            return true;
        }
        boolean tookLong = tookMs > attempt.part.multiget.opType.latencyObjectiveMs * TIMEOUT_OBJECTIVE_SHARE;
        boolean mayBeLost = outcome != Attempt.Outcome.ANSWERED && attempt.server.lastAnsweredSentMs > attempt.sentMs;
        return tookLong && !mayBeLost;
    }
}
