package spartrail.intake;

import spartrail.model.Attempt;
import spartrail.model.OpType;

/**
 * The ids of requests of which a part may have run, for as long as they are rejected if they come again: a second run of
 * a request that is not idempotent would take effect twice. Remembers hashes, so a request with a new id is rejected with
 * a probability of about one in 2^47.
 *
 * <p>Two generations of ids: the older one is forgotten when the younger one is full or old enough. So an id is known for
 * {@link #GENERATION_MS} at least, unless over {@link #MAX_GENERATION_SIZE} others follow. Cost: constant for each id.
 */
public final class ExecutedRequestIds {
    /** Longer than clients retry a request. */
    static final double GENERATION_MS = 300_000;

    /** Bounds the memory to 2 MB. */
    static final int MAX_GENERATION_SIZE = 64 * 1024;

    private LongHashSet younger = new LongHashSet();
    private LongHashSet older = new LongHashSet();
    private double youngerSinceMs = Double.NEGATIVE_INFINITY;

    /** Adds the hash of a request's id when an attempt has ended, if the request must not run a second time now. */
    public void addOutcome(long idHash, OpType.Idempotency idempotency, Attempt.Outcome outcome, double nowMs) {
        if (idempotency != OpType.Idempotency.IDEMPOTENT && outcome.mayHaveRun) {
            add(idHash, nowMs);
        }
    }

    void add(long idHash, double nowMs) {
        forgetOld(nowMs);
        younger.add(idHash);
    }

    /** Whether a part of the request with this id may have run. */
    public boolean contains(long idHash, double nowMs) {
        forgetOld(nowMs);
        return younger.contains(idHash) || older.contains(idHash);
    }

    int size() {
        return younger.size() + older.size();
    }

    private void forgetOld(double nowMs) {
        if (nowMs - youngerSinceMs > GENERATION_MS || younger.size() >= MAX_GENERATION_SIZE) {
            older = younger;
            younger = new LongHashSet();
            youngerSinceMs = nowMs;
        }
    }
}
