package spartrail.model;

/**
 * One kind of multiget, as the settings describe it, with the latency that a coordinator has seen of it. Where settings change
 * while a node runs, another op type takes its place that shares these statistics; multigets in hand keep the one they came with.
 */
public final class OpType {
    /** Whether a part may run twice. */
    public enum Idempotency {
        IDEMPOTENT,
        /** Servers drop duplicates within the deduplication window. */
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    public String name;
    public double priorityWeight;
    public double latencyObjectiveMs;
    /** The time that clients usually wait. */
    public double timeoutMs;
    /** Share of its value that an answer after the latency objective still has. */
    public double lateShare;

    public Idempotency idempotency;
    public double deduplicationWindowMs;
    /** Answered weight from which an answer is complete. */
    public double completeWeight;
    /** Answered weight from which a partial answer may be given. */
    public double minimumWeight;
    /** Share of its value that a partial answer has, by its weight. */
    public double partialShare;

    /** What is seen of its answers. */
    public final LatencyStatistics latency;

    /** One that nothing has been seen of. */
    public OpType() {
        this(new LatencyStatistics());
    }

    /** One that shares the statistics of one of the same name. */
    public OpType(LatencyStatistics latency) {
        this.latency = latency;
    }

    /** What a coordinator learns from answers, whatever the settings say; 0 where nothing is known. */
    public static final class LatencyStatistics {
        public double meanLatencyMs;
        public double latencyDeviationMs;
        /** Latency of servers that have nothing else of this node in flight. */
        public double unloadedLatencyMs;
        /** When a multiget was rejected that no answer has followed since. */
        public double rejectedSinceMs = Double.MAX_VALUE;
    }
}
