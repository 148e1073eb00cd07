package spartrail.model;

/**
 * One kind of multiget, as the settings describe it, with what a coordinator has learned of it. Where settings change while a
 * node runs, a further one takes its place that shares what was learned; multigets in hand keep the one they were taken by.
 */
public final class OpType {
    /** What a repeat of one of its parts does. */
    public enum Repeat {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    public String name;
    public double importance;
    public double budgetMs;
    public double timeoutMs;
    public double lateShare;
    public Repeat repeat;
    public double dedupMs;
    public double need;
    public double floor;
    public double partialShare;

    /** Learned of its answers. */
    public final Learned learned;

    public OpType() {
        this(new Learned());
    }

    /** Of one of the same name, whose answers are this one's, too. */
    public OpType(Learned learned) {
        this.learned = learned;
    }

    /** What a coordinator learns of answers, whatever the settings say. */
    public static final class Learned {
        /** Time of an answer on average, its mean deviation, and that of a server with nothing else of ours. */
        public double usualMs;

        public double deviationMs;
        public double lightMs;
        /** When one was turned away and none has been answered since. */
        public double barredMs = Double.MAX_VALUE;
    }
}
