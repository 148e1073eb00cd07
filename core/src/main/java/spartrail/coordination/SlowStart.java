package spartrail.coordination;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/**
 * Limits this node's attempts at a server that warms up to the node's share of the capacity that the server has at its
 * age, so that the front nodes together don't overload a server that has just started.
 *
 * <p>Cost: constant for each check of a replica; if this node's share is less than one part, a check also visits the
 * replicas of the shard. All servers are visited once a tick.
 */
final class SlowStart {
    /**
     * Share of the computed allowance that is used; it is below 1 because the service time of a part is only an
     * estimate.
     */
    private static final double ALLOWANCE_SAFETY = 0.8;
    /**
     * The highest answer rate of a server counts as at most this many times the mean. If there are many servers with
     * few answers each, a higher maximum is due to chance.
     */
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
    /** Parts that one core serves per millisecond. */
    private double corePartsPerMs;
    /**
     * Parts per millisecond that a warm server answers this node on average; at least this node's share of one core.
     */
    private double meanPartsPerMs;
    /** Parts per millisecond that the busiest warm server answers this node. */
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

    /** Returns the time after which an overloaded server collapses. */
    double collapseAfterMs() {
        return collapseAfterMs;
    }

    /** Returns the least share of its full capacity that a server has at its age. */
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

    /** Whether this part may be sent to this server now; always true if the server is not warming up. */
    boolean maySend(Part part, Server server) {
        if (!isWarmingUp(server)) {
            return true;
        }
        int recentAttempts = server.warmUpAttempts.countSince(context.nowMs() - collapseAfterMs);
        double capacity = collapseMultiple * capacityShare(server) * collapseAfterMs;
        if (recentAttempts + 1 <= ALLOWANCE_SAFETY * capacity * busiestPartsPerMs) {
            return true;
        }
        return server.warmUpAttempts.oldestMs() >= context.nowMs() && hasAllowedRank(part, capacity);
    }

    /**
     * Whether the rank of the part's multiget is low enough; applies when this node's share is less than one part.
     *
     * <p>Multigets of the lowest ranks are allowed, the same ones at every server: as many as keep the demand of all
     * nodes, plus three standard deviations, within the server's capacity. Without this rule, nodes would send nothing
     * to a fleet whose servers have all just started. The replicas of the shard that are warming up divide the allowed
     * parts among them, because each allowed part goes to an idle replica.
     */
    private boolean hasAllowedRank(Part part, double capacity) {
        double sqrtAllowedParts = (Math.sqrt(9 + 4 * capacity * corePartsPerMs) - 3) / 2;
        List<Server> warmingReplicas = ServerTable.findMatching(
                part.shard.replicas, replica -> OutlierDetector.isHealthy(replica) && isWarmingUp(replica));
        int warmingReplicaCount = Math.max(1, warmingReplicas.size());
        int replicas = Math.max(table.replicationFactor(), part.shard.replicas.size());
        double demand = frontNodes * meanPartsPerMs * collapseAfterMs * replicas / warmingReplicaCount;
        return part.multiget.rank < ReleaseOrder.RANK_COUNT * sqrtAllowedParts * sqrtAllowedParts / demand;
    }

    /** Updates the rates at which warm servers answer this node; called once a tick and with each endpoint update. */
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

    /** Adds the answers of this tick to the average answer rate of a server, and resets their count. */
    void updateAnswerRate(Server server) {
        double tickRate = server.answersThisTick / EventContext.TICK_INTERVAL_MS;
        server.answerRate += (tickRate - server.answerRate) * EventContext.TICK_INTERVAL_MS / OutlierDetector.DECAY_MS;
        server.answersThisTick = 0;
    }
}
