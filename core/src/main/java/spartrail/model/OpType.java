package spartrail.model;

/**
 * A kind of multiget, as the settings describe it, with the latency statistics of a coordinator. If the settings change
 * while a node runs, a new op type that shares the statistics replaces the old one; multigets in progress keep the old
 * one.
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
    /** The time that clients usually wait for an answer. */
    public double timeoutMs;
    /** Share of its value that an answer keeps after the latency objective. */
    public double lateShare;

    public Idempotency idempotency;
    public double deduplicationWindowMs;
    /** Least answered weight of a complete answer. */
    public double completeWeight;
    /** Least answered weight of a partial answer. */
    public double minimumWeight;
    /** Factor for the value of a partial answer, which is proportional to the answered weight. */
    public double partialShare;

    public final LatencyStatistics latency;

    /** An op type without statistics yet. */
    public OpType() {
        this(new LatencyStatistics());
    }

    /** An op type that shares the statistics of the one that it replaces. */
    public OpType(LatencyStatistics latency) {
        this.latency = latency;
    }

    /** What a coordinator learns from answers, independent of the settings; 0 if nothing is known. */
    public static final class LatencyStatistics {
        public double meanLatencyMs;
        public double latencyDeviationMs;
        /** Latency of servers that have no other attempt of this node in flight. */
        public double unloadedLatencyMs;
        /** Time of the first rejection since the last answer; {@link Double#MAX_VALUE} if there was none. */
        public double rejectedSinceMs = Double.MAX_VALUE;
    }
}
