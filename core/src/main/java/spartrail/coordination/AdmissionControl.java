package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Rejects multigets that can't be answered in time before they cost anything. Under overload all of the work would be served too
 * late otherwise; op types of low priority are rejected first.
 */
final class AdmissionControl {
    /** How long what was seen of the queues at servers counts. */
    private static final double EVIDENCE_LIFETIME_MS = 3000;
    /** The op types of the lowest priority may use this share of their latency objective, those of the highest all of it. */
    private static final double MIN_OBJECTIVE_SHARE = 0.4;

    private final EventContext context;
    private final LatencyEstimator latencies;
    private final PriorityScale priorities;
    private final SlowStart slowStart;
    /** How long parts wait at servers beyond the unloaded latency, its mean deviation, and when that was last seen. */
    private double serverQueueingMs;

    private double serverQueueingDeviationMs;
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
     * An attempt that can't be answered in the time it has takes capacity and earns nothing, or little once its latency objective
     * is missed. That a client leaves little time does not show that it has tried before, unless it says so.
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
     * With many front nodes none of them queues anything, and the queues that all of them cause at the servers would reject
     * nothing. What answers of any op type take beyond the unloaded latency shows these queues. Where nothing is admitted nothing
     * is learned, so the evidence fades with its age.
     */
    private double recentServerQueueingMs() {
        double freshness = 1 - Math.min(1, (context.nowMs() - lastEvidenceMs) / EVIDENCE_LIFETIME_MS);
        return (serverQueueingMs + serverQueueingDeviationMs) * freshness;
    }

    /** Takes an answer, before the latency estimates have taken it. */
    void recordAnswer(Attempt attempt, double tookMs) {
        Server server = attempt.server;
        OpType op = attempt.part.multiget.opType;
        lastEvidenceMs = context.nowMs();
        // The latency of an ejected server, or of one that warms up, would look like queues everywhere.
        double queueingMs = server.ejected
                ? 0
                : slowStart.capacityShare(server) * Math.max(0, tookMs - op.latency.unloadedLatencyMs);
        serverQueueingDeviationMs +=
                (Math.abs(queueingMs - serverQueueingMs) - serverQueueingDeviationMs) * LatencyEstimator.SMOOTHING;
        serverQueueingMs += (queueingMs - serverQueueingMs) * LatencyEstimator.SMOOTHING;
    }

    /** The Retry-After of a rejected multiget: when the parts that are queued now have left; 0 where clients take none. */
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
