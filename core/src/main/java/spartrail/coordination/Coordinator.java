package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * What a front node asks of the module that decides. Times are milliseconds on the caller's clock. A front
 * end of any protocol builds multigets, makes the three calls, passes on news, and carries out the decisions
 * returned; it keeps its own timer and the multigets in hand. An instance belongs to one front node and one
 * thread.
 */
public interface Coordinator {

    // What is read at start, each part with its own few figures.

    /** How many front nodes there are, and the shortest time between two turns of this one. */
    Coordinator frontNodes(int count, double loopIntervalMs);

    /**
     * Shard s is held by the cells (s + j) mod cells, j from 0 to reach - 1; a call carries up to so many
     * parts.
     */
    Coordinator layout(int shards, int cells, int replicationFactor, int maxPartsPerBatch);

    /** Most sends of a part, whether two may be out at a time, and whether a send may be cancelled. */
    Coordinator attempts(int maxPerPart, boolean hedging, boolean cancellation);

    /**
     * Further sends in any span may not pass the free ones plus a share of what was taken; a span of 0 is no
     * budget.
     */
    Coordinator retryBudget(double windowMs, double minRetries, double retryRatio);

    /**
     * A cold server's least share of its capacity, when it is warm, and how much for how long pushes it over.
     */
    Coordinator slowStart(double minCapacityShare, double warmUpMs, double collapseMultiple, double collapseAfterMs);

    /** Whether clients are told when to come back, and the longest time that they heed. */
    Coordinator retryAfter(boolean allowed, double maxRetryAfterMs);

    /** Whether the list must be asked for, and how often at the least. */
    Coordinator endpointPolling(boolean polled, double maxPollIntervalMs);

    /** The shard of this number, for the parts of a multiget. */
    Shard shard(int number);

    // The three calls.

    /** Where to send this multiget: now, not yet, or never. */
    Decisions place(Multiget mg, double nowMs);

    /** What to do after this outcome of a send, so long after it was sent. */
    Decisions onOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double nowMs);

    /** How long to wait, without other calls, until {@link #onTimer}. */
    double timeToNextTimerMs(double nowMs);

    // News.

    Decisions onTimer(double nowMs);

    Decisions onClientGone(Multiget mg, double nowMs);

    /** Lines of the list: all of it or changes only, fresh or as last held before a restart. */
    Decisions onEndpointUpdate(List<Server> servers, boolean complete, boolean fresh, double nowMs);

    /** The list could not be had, or its changes no longer come. */
    Decisions onDiscoveryUnavailable(double nowMs);
}
