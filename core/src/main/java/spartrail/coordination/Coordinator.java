package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Makes the decisions of a front node. Times are milliseconds on the caller's clock.
 *
 * <p>A front end of any protocol configures a coordinator at start, builds multigets, reports events, and carries out
 * the decisions that each event returns. The front end keeps its own timer and the multigets in progress. An instance
 * belongs to one front node and one thread. All configuration except {@link #configureLayout} may be changed while the
 * coordinator is in use.
 */
public interface Coordinator {

    /**
     * Sets the number of front nodes that share the servers, and the shortest time between two event loop iterations of
     * this node.
     */
    Coordinator configureFrontNodes(int count, double loopIntervalMs);

    /**
     * Sets which cells hold which shards, and the most parts that a batch may carry. For j from 0 to replicationFactor
     * - 1, cell (s + j) mod cells holds shard s.
     */
    Coordinator configureLayout(int shards, int cells, int replicationFactor, int maxPartsPerBatch);

    /**
     * Sets the most attempts of a part, whether two may be in flight at the same time, and whether an attempt may be
     * cancelled.
     */
    Coordinator configureAttempts(int maxPerPart, boolean hedging, boolean cancellation);

    /**
     * Sets the retry budget: in any window, the retries and hedged requests are at most {@code minRetries} plus {@code
     * retryRatio} times the multigets and parts that clients requested. A window of 0 disables the budget.
     */
    Coordinator configureRetryBudget(double windowMs, double minRetries, double retryRatio);

    /**
     * Sets how servers warm up: the least share of its full capacity that a server has at its start, and the time until
     * it has full capacity. A server collapses if it gets {@code collapseMultiple} times its capacity for {@code
     * collapseAfterMs}.
     */
    Coordinator configureSlowStart(
            double minCapacityShare, double warmUpMs, double collapseMultiple, double collapseAfterMs);

    /** Sets whether rejections carry a Retry-After, and the longest one that clients heed. */
    Coordinator configureRetryAfter(boolean allowed, double maxRetryAfterMs);

    /** Sets whether the node must poll for changes of the endpoint list, and the longest time between two polls. */
    Coordinator configureEndpointPolling(boolean polled, double maxPollIntervalMs);

    /** Returns the shard of this number, for the parts of a multiget. */
    Shard shard(int number);

    /** Accepts a multiget from a client. Its parts are sent now or queued, or the multiget is rejected. */
    Decisions submit(Multiget multiget, double nowMs);

    /** Handles the outcome of an attempt; {@code tookMs} is the time from the start of the attempt to its outcome. */
    Decisions onOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double nowMs);

    /** Returns the time after which {@link #onTimer} must be called if no other event comes first. */
    double timeToNextTimerMs(double nowMs);

    /** Runs the timers and the periodic work that are due. */
    Decisions onTimer(double nowMs);

    /** Ends a multiget whose client has closed its connection. */
    Decisions onClientGone(Multiget multiget, double nowMs);

    /**
     * Applies lines of the endpoint list.
     *
     * @param complete whether these are all servers; otherwise they are the changed ones
     * @param fresh whether the list has just come from discovery; otherwise it was stored before a restart
     */
    Decisions onEndpointUpdate(List<Server> servers, boolean complete, boolean fresh, double nowMs);

    /**
     * Handles a failure of discovery: the endpoint list could not be fetched, or the stream of its changes has ended.
     */
    Decisions onDiscoveryUnavailable(double nowMs);
}
