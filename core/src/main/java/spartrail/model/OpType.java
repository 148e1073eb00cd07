package spartrail.model;

/**
 * One kind of multiget, as the settings describe it, with what a coordinator has learned of it. Where settings change while a
 * node runs, a further one takes its place that shares what was learned; multigets in hand keep the one they were taken by.
 */
public final class OpType {
    /** What a repeat of one of its parts does. */
    public enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    public String name;
    public double priorityWeight;
    public double latencyObjectiveMs;
    public double timeoutMs;
    public double lateShare;
    public Idempotency idempotency;
    public double deduplicationWindowMs;
    public double completeWeight;
    public double minimumWeight;
    public double partialShare;

    /** Learned of its answers. */
    public final LatencyStatistics latency;

    public OpType() {
        this(new LatencyStatistics());
    }

    /** Of one of the same name, whose answers are this one's, too. */
    public OpType(LatencyStatistics latency) {
        this.latency = latency;
    }

    /** What a coordinator learns of answers, whatever the settings say. */
    public static final class LatencyStatistics {
        /** Time of an answer on average, its mean deviation, and that of a server with nothing else of ours. */
        public double meanLatencyMs;

        public double latencyDeviationMs;
        public double unloadedLatencyMs;
        /** When one was turned away and none has been answered since. */
        public double rejectedSinceMs = Double.MAX_VALUE;
    }
}
