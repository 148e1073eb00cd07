package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.OpType;
import spartrail.model.Part;

/** Estimates how long attempts of an op type take, from the answers of this node's attempts. */
final class LatencyEstimator {
    /** Weight of a new sample in a moving average. */
    static final double SMOOTHING = 0.1;
    /** The unloaded latency rises by this weight; it falls by that of the other averages. */
    private static final double UNLOADED_RISE_SMOOTHING = SMOOTHING / 40;
    /** An attempt is overdue after the mean latency and this many mean deviations. */
    private static final double OVERDUE_DEVIATIONS = 4;
    /** Without answers, the mean latency is taken to be the latency objective over this. */
    private static final double OBJECTIVE_PER_MEAN = 8;
    /** Without answers, the deviation is taken to be the latency objective over this. */
    private static final double OBJECTIVE_PER_DEVIATION = 16;
    /** How long what was seen of an op type counts while all of it is rejected. */
    private static final double EVIDENCE_DECAY_MS = 4000;

    private final EventContext context;

    LatencyEstimator(EventContext context) {
        this.context = context;
    }

    double meanLatencyMs(OpType op) {
        return op.latency.meanLatencyMs > 0 ? op.latency.meanLatencyMs : op.latencyObjectiveMs / OBJECTIVE_PER_MEAN;
    }

    /** The mean latency and one mean deviation. */
    double expectedLatencyMs(OpType op) {
        return meanLatencyMs(op) + op.latency.latencyDeviationMs;
    }

    /** The time after which an attempt of this part is overdue. */
    double overdueAfterMs(Part part) {
        OpType op = part.multiget.opType;
        double deviationMs = op.latency.meanLatencyMs > 0
                ? op.latency.latencyDeviationMs
                : op.latencyObjectiveMs / OBJECTIVE_PER_DEVIATION;
        return meanLatencyMs(op) + OVERDUE_DEVIATIONS * deviationMs;
    }

    /**
     * From 1 down to 0 while an op type is rejected: nothing new is learned of it meanwhile, so what was seen before counts less
     * and less.
     */
    double evidenceWeight(OpType op) {
        return 1 - Math.min(1, Math.max(0, context.nowMs() - op.latency.rejectedSinceMs) / EVIDENCE_DECAY_MS);
    }

    void recordRejection(OpType op) {
        op.latency.rejectedSinceMs = Math.min(op.latency.rejectedSinceMs, context.nowMs());
    }

    void recordAnswer(Attempt attempt, double tookMs) {
        OpType op = attempt.part.multiget.opType;
        OpType.LatencyStatistics latency = op.latency;
        double smoothing = Math.max(SMOOTHING, 1 - evidenceWeight(op));
        latency.rejectedSinceMs = Double.MAX_VALUE;
        if (latency.meanLatencyMs == 0) {
            latency.latencyDeviationMs = tookMs / 2;
            latency.meanLatencyMs = tookMs;
        } else {
            latency.latencyDeviationMs +=
                    (Math.abs(tookMs - latency.meanLatencyMs) - latency.latencyDeviationMs) * smoothing;
            latency.meanLatencyMs += (tookMs - latency.meanLatencyMs) * smoothing;
        }
        if (attempt.serverWasIdle) {
            latency.unloadedLatencyMs +=
                    (tookMs - latency.unloadedLatencyMs) * unloadedSmoothing(latency, tookMs, smoothing);
        }
        // A slow first answer would stand for the unloaded latency until servers are idle again.
        latency.unloadedLatencyMs = Math.min(latency.unloadedLatencyMs, latency.meanLatencyMs);
    }

    /** Under overload no server is idle, so the unloaded latency falls quickly and rises slowly. */
    private static double unloadedSmoothing(OpType.LatencyStatistics latency, double tookMs, double smoothing) {
        if (latency.unloadedLatencyMs == 0) {
            return 1;
        }
        return tookMs < latency.unloadedLatencyMs ? smoothing : UNLOADED_RISE_SMOOTHING;
    }
}
