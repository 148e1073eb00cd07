package spartrail.coordination;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/**
 * Limits the attempts at servers that are warming up to this node's share of what they can take at their age, so that the front
 * nodes together don't overload a server that has just started.
 *
 * <p>Cost: a constant for each replica asked about, except that the replicas of the shard are walked where this node's share is
 * less than a part; all servers are walked once a tick.
 */
final class SlowStart {
    /** Share of the allowance that is used, as the service time of a part is known roughly. */
    private static final double ALLOWANCE_SAFETY = 0.8;
    /** The busiest server counts as at most this many times the mean: among many servers seen seldom it is busiest by chance. */
    private static final double MAX_BUSIEST_PER_MEAN = 2;

    private final EventContext context;
    private final LatencyEstimator latencies;
    private final ServerTable table;
    private final List<OpType> opTypes;
    private int frontNodes = 1;
    private double minCapacityShare = 1;
    private double warmUpMs;
    private double collapseMultiple = 1;
    private double collapseAfterMs;
    /** Parts in a millisecond that one core serves. */
    private double corePartsPerMs;
    /** Parts in a millisecond that a warm server answers this node on average, at least this node's share of a core. */
    private double meanPartsPerMs;
    /** Parts in a millisecond that the busiest warm server answers this node. */
    private double busiestPartsPerMs;

    SlowStart(EventContext context, LatencyEstimator latencies, ServerTable table, List<OpType> opTypes) {
        this.context = context;
        this.latencies = latencies;
        this.table = table;
        this.opTypes = opTypes;
    }

    void setFrontNodes(int count) {
        frontNodes = Math.max(1, count);
    }

    /** See {@link Coordinator#configureSlowStart}. */
    void configure(double minShare, double warmUpDurationMs, double multiple, double collapseMs) {
        minCapacityShare = minShare;
        warmUpMs = warmUpDurationMs;
        collapseMultiple = multiple;
        collapseAfterMs = collapseMs;
    }

    /** How long a server has to be overloaded until it collapses. */
    double collapseAfterMs() {
        return collapseAfterMs;
    }

    /** The least share of its full capacity that a server has at its age. */
    double capacityShare(Server server) {
        if (!isWarmingUp(server)) {
            return 1;
        }
        return minCapacityShare + (1 - minCapacityShare) * Math.max(0, context.nowMs() - server.startedAtMs) / warmUpMs;
    }

    boolean isWarmingUp(Server server) {
        return server.startedAtMs >= 0 && context.nowMs() - server.startedAtMs < warmUpMs;
    }

    void recordAttempt(Server server) {
        if (isWarmingUp(server)) {
            server.warmUpAttempts.add(context.nowMs(), 1);
        }
    }

    void recordAnswer(Server server) {
        server.answersThisTick++;
    }

    /** Whether this part may be sent to this server, which may be warming up. */
    boolean maySend(Part part, Server server) {
        if (!isWarmingUp(server)) {
            return true;
        }
        int recentAttempts = server.warmUpAttempts.countSince(context.nowMs() - collapseAfterMs);
        double capacity = collapseMultiple * capacityShare(server) * collapseAfterMs;
        if (recentAttempts + 1 <= ALLOWANCE_SAFETY * capacity * busiestPartsPerMs) {
            return true;
        }
        return server.warmUpAttempts.oldestMs() >= context.nowMs() && isOfAllowedRank(part, capacity);
    }

    /**
     * Where this node's share is less than one part, multigets of the lowest ranks pass, the same ones at every server: as many
     * as keep the demand of all nodes, with three standard deviations, within the server's capacity. Without this, a fleet that
     * starts anew would stand idle. The replicas of a shard that are warming up share what passes, as an idle one is the next in
     * turn for all that may pass it.
     */
    private boolean isOfAllowedRank(Part part, double capacity) {
        double sqrtAllowedParts = (Math.sqrt(9 + 4 * capacity * corePartsPerMs) - 3) / 2;
        List<Server> warmingReplicas = ServerTable.findMatching(
                part.shard.replicas, replica -> OutlierDetector.isHealthy(replica) && isWarmingUp(replica));
        int warmingReplicaCount = Math.max(1, warmingReplicas.size());
        int replicas = Math.max(table.replicationFactor(), part.shard.replicas.size());
        double demand = frontNodes * meanPartsPerMs * collapseAfterMs * replicas / warmingReplicaCount;
        return part.multiget.rank < ReleaseOrder.RANK_COUNT * sqrtAllowedParts * sqrtAllowedParts / demand;
    }

    /** Updates what warm servers take from this node; once a tick and with each endpoint update. */
    void updateServiceRates() {
        corePartsPerMs =
                1 / opTypes.stream().mapToDouble(this::unloadedLatencyMs).max().orElse(1);
        DoubleSummaryStatistics rates =
                table.findMatching(server -> OutlierDetector.isHealthy(server) && !isWarmingUp(server)).stream()
                        .mapToDouble(server -> server.answerRate)
                        .summaryStatistics();
        meanPartsPerMs = Math.max(corePartsPerMs / frontNodes, rates.getAverage());
        busiestPartsPerMs =
                Math.max(meanPartsPerMs, Math.min(rates.getMax(), MAX_BUSIEST_PER_MEAN * rates.getAverage()));
    }

    private double unloadedLatencyMs(OpType op) {
        return op.latency.unloadedLatencyMs > 0 ? op.latency.unloadedLatencyMs : latencies.meanLatencyMs(op);
    }

    /** Closes the tick's count of answers of a server. */
    void updateAnswerRate(Server server) {
        double tickRate = server.answersThisTick / EventContext.TICK_INTERVAL_MS;
        server.answerRate += (tickRate - server.answerRate) * EventContext.TICK_INTERVAL_MS / OutlierDetector.DECAY_MS;
        server.answersThisTick = 0;
    }
}
