package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Rejects multigets that can't be answered in time before any of their parts is sent. Without it, under overload, all
 * multigets would be answered too late. Op types of low priority are rejected first.
 */
final class AdmissionControl {
    /** The queueing observed at servers loses its weight over this time. */
    private static final double EVIDENCE_LIFETIME_MS = 3000;
    /**
     * The share of its latency objective that an op type of the lowest priority may use; one of the highest may use all
     * of it.
     */
    private static final double MIN_OBJECTIVE_SHARE = 0.4;

    private final EventContext context;
    private final LatencyEstimator latencies;
    private final PriorityScale priorities;
    private final SlowStart slowStart;
    /** Mean time that parts are queued at servers: their latency beyond the unloaded latency. */
    private double serverQueueingMs;
    /** Mean deviation of the time that parts are queued at servers. */
    private double serverQueueingDeviationMs;
    /** Time of the last answer that the two averages include. */
    private double lastEvidenceMs;

    private boolean retryAfterAllowed;
    private double maxRetryAfterMs;

    AdmissionControl(EventContext context, LatencyEstimator latencies, PriorityScale priorities, SlowStart slowStart) {
        this.context = context;
        this.latencies = latencies;
        this.priorities = priorities;
        this.slowStart = slowStart;
    }

    /** See {@link Coordinator#configureRetryAfter}. */
    void configureRetryAfter(boolean allowed, double maxMs) {
        retryAfterAllowed = allowed;
        maxRetryAfterMs = maxMs;
    }

    boolean mayAdmit(Multiget multiget) {
        if (hasTooLittleTime(multiget)) {
            return false;
        }
        OpType op = multiget.opType;
        double objectiveShare = MIN_OBJECTIVE_SHARE + (1 - MIN_OBJECTIVE_SHARE) * priorities.relativePriority(op);
        double queueDelayMs = longestQueueDelayMs(multiget);
        double evidenceWeight = latencies.evidenceWeight(op);
        if (queueDelayMs > 0) {
            double latencyMs = latencies.meanLatencyMs(op) + 2 * op.latency.latencyDeviationMs;
            return queueDelayMs + evidenceWeight * latencyMs
                    <= objectiveShare * Math.min(op.latencyObjectiveMs, multiget.clientTimeLeftMs);
        }
        return evidenceWeight * op.latency.unloadedLatencyMs + recentServerQueueingMs()
                <= Math.min(objectiveShare * op.latencyObjectiveMs, multiget.clientTimeLeftMs);
    }

    /**
     * Whether the client leaves too little time for an answer, or retries after its latency objective is missed.
     * Attempts for such a multiget use capacity, but the answer has no value or little. Little time left does not show
     * by itself that the client has tried before; only the client's retry mark shows that.
     */
    private boolean hasTooLittleTime(Multiget multiget) {
        OpType op = multiget.opType;
        boolean objectiveMissed =
                multiget.clientRetry && multiget.clientTimeLeftMs <= op.timeoutMs - op.latencyObjectiveMs;
        return objectiveMissed
                || multiget.clientTimeLeftMs < latencies.evidenceWeight(op) * latencies.expectedLatencyMs(op);
    }

    private double longestQueueDelayMs(Multiget multiget) {
        double longestMs = 0;
        for (Part part : multiget.parts) {
            longestMs = Math.max(longestMs, queueDelayMs(part.shard));
        }
        return longestMs;
    }

    private double queueDelayMs(Shard shard) {
        return shard.queue.isEmpty()
                ? 0
                : Math.max(shard.queueDelayMs, context.nowMs() - shard.queue.first().queuedSinceMs);
    }

    /**
     * Returns how long parts were recently queued at servers, plus the mean deviation. With many front nodes, queues
     * build up at the servers while the nodes' own queues stay empty, so the nodes' queues alone would not lead to
     * rejections. The latency of answers of any op type beyond the unloaded latency shows the queues at the servers.
     * While nothing is admitted there are no new answers, so the result decreases with its age.
     */
    private double recentServerQueueingMs() {
        double freshness = 1 - Math.min(1, (context.nowMs() - lastEvidenceMs) / EVIDENCE_LIFETIME_MS);
        return (serverQueueingMs + serverQueueingDeviationMs) * freshness;
    }

    /** Records an answer. Must be called before the latency estimates include it. */
    void recordAnswer(Attempt attempt, double tookMs) {
        Server server = attempt.server;
        OpType op = attempt.part.multiget.opType;
        lastEvidenceMs = context.nowMs();
        // An ejected server, or one that warms up, is slow for its own reasons; its latency would look like queues
        // everywhere.
        double queueingMs = server.ejected
                ? 0
                : slowStart.capacityShare(server) * Math.max(0, tookMs - op.latency.unloadedLatencyMs);
        serverQueueingDeviationMs +=
                (Math.abs(queueingMs - serverQueueingMs) - serverQueueingDeviationMs) * LatencyEstimator.SMOOTHING;
        serverQueueingMs += (queueingMs - serverQueueingMs) * LatencyEstimator.SMOOTHING;
    }

    /**
     * Returns the Retry-After of a rejected multiget: the expected time until the parts that are queued now are
     * released; 0 if clients don't heed a Retry-After.
     */
    double retryAfterMs(Multiget multiget) {
        if (!retryAfterAllowed) {
            return 0;
        }
        double queueDelayMs = multiget.parts.stream()
                .mapToDouble(part -> part.shard.queueDelayMs)
                .max()
                .orElse(0);
        return Math.min(maxRetryAfterMs, Math.max(latencies.meanLatencyMs(multiget.opType), queueDelayMs));
    }

    /** Whether clients of rejected multigets heed a Retry-After. */
    boolean isRetryAfterAllowed() {
        return retryAfterAllowed;
    }
}
