package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * The decisions of a front node. Times are milliseconds on the caller's clock.
 *
 * <p>A front end of any protocol configures a coordinator at start, builds multigets, reports events, and carries out the
 * decisions that each event returns. It keeps its own timer and the multigets in hand. An instance belongs to one front node and
 * one thread. Configuration other than {@link #configureLayout} may be stated again while it serves.
 */
public interface Coordinator {

    /** States how many front nodes share the servers, and the shortest time between two iterations of this one's event loop. */
    Coordinator configureFrontNodes(int count, double loopIntervalMs);

    /**
     * States which cells hold which shards, and how many parts a batch may carry at most. Shard s is held by the cells (s + j) mod
     * cells, j from 0 to replicationFactor - 1.
     */
    Coordinator configureLayout(int shards, int cells, int replicationFactor, int maxPartsPerBatch);

    /** States the most attempts of a part, whether two may be in flight at a time, and whether an attempt may be cancelled. */
    Coordinator configureAttempts(int maxPerPart, boolean hedging, boolean cancellation);

    /**
     * States the retry budget: in any window no more retries and hedged requests than a minimum and a ratio of the multigets and
     * parts that were requested. A window of 0 means no budget.
     */
    Coordinator configureRetryBudget(double windowMs, double minRetries, double retryRatio);

    /**
     * States how servers warm up: the least share of its full capacity that a server has at its start, the time until it has all
     * of it, and how many times its capacity for how long makes it collapse.
     */
    Coordinator configureSlowStart(
            double minCapacityShare, double warmUpMs, double collapseMultiple, double collapseAfterMs);

    /** States whether rejections carry a Retry-After, and the longest one that clients heed. */
    Coordinator configureRetryAfter(boolean allowed, double maxRetryAfterMs);

    /** States whether the changes of the endpoint list must be asked for, and the longest time between two such polls. */
    Coordinator configureEndpointPolling(boolean polled, double maxPollIntervalMs);

    /** Returns the shard of this number, for the parts of a multiget. */
    Shard shard(int number);

    /** Takes a multiget from a client: its parts are sent now, queued, or the multiget is rejected. */
    Decisions submit(Multiget multiget, double nowMs);

    /** Takes the outcome of an attempt and the time from its start to this outcome. */
    Decisions onOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double nowMs);

    /** Returns the time after which {@link #onTimer} is due if there is no other event. */
    double timeToNextTimerMs(double nowMs);

    /** Runs what is due. */
    Decisions onTimer(double nowMs);

    /** Ends a multiget whose client has closed its connection. */
    Decisions onClientGone(Multiget multiget, double nowMs);

    /**
     * Takes lines of the endpoint list.
     *
     * @param complete whether these are all servers; otherwise they are the changed ones
     * @param fresh whether the list comes from discovery now; otherwise it is as it was held before a restart
     */
    Decisions onEndpointUpdate(List<Server> servers, boolean complete, boolean fresh, double nowMs);

    /** Learns that the endpoint list could not be had, or that its changes no longer come. */
    Decisions onDiscoveryUnavailable(double nowMs);
}
