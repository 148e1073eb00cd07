package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.OpType;
import spartrail.model.Server;

/**
 * The concurrency limit of each server: one more for a quick answer while the limit binds, half for an attempt that timed out or
 * found the server full. Queues at servers, where nothing puts them in release order, stay short.
 */
final class ConcurrencyLimiter {
    private static final int INITIAL_LIMIT = 4;
    private static final int INITIAL_WARM_UP_LIMIT = 2;
    /** A limit grows by answers that took at most this many times the unloaded latency. */
    private static final double GROWTH_LATENCY_RATIO = 2;
    /** An attempt that took more than this share of its latency objective counts as timed out. */
    private static final double TIMEOUT_OBJECTIVE_SHARE = 0.15;

    private final EventContext context;
    private final SlowStart slowStart;

    ConcurrencyLimiter(EventContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** The limit of a server process of which nothing is known yet. */
    void reset(Server server) {
        server.concurrencyLimit = slowStart.isWarmingUp(server) ? INITIAL_WARM_UP_LIMIT : INITIAL_LIMIT;
    }

    /** Halves at most once for what was sent before the last halving. */
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

    /** A part that was lost says nothing of a queue; it does not count where later ones were answered. */
    private static boolean isTimeout(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        if (outcome == Attempt.Outcome.TIMED_OUT) {
            return true;
        }
        boolean tookLong = tookMs > attempt.part.multiget.opType.latencyObjectiveMs * TIMEOUT_OBJECTIVE_SHARE;
        boolean mayBeLost = outcome != Attempt.Outcome.ANSWERED && attempt.server.lastAnsweredSentMs > attempt.sentMs;
        return tookLong && !mayBeLost;
    }
}
