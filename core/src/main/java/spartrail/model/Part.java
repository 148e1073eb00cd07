package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of a multiget that one shard answers.
 *
 * <p>Cost: each method visits the few attempts of the part. {@link #wasAttemptedAt} and {@link #isInFlightAt} are
 * called for every replica of every part, so they are plain loops: streams took most of the processor time for shards
 * with hundreds of replicas.
 */
public final class Part {
    public long id;
    public Multiget multiget;
    public Shard shard;
    public double weight;
    public double costMs;
    /** Whether the part is in its shard's queue. */
    public boolean queued;

    public double queuedSinceMs;
    public boolean answered;
    public boolean abandoned;
    public final List<Attempt> attempts = new ArrayList<>();

    /** Whether the part still needs an answer. */
    public boolean isOpen() {
        return !answered && !abandoned;
    }

    /** Whether an attempt of the part has had no outcome yet. */
    public boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the earliest end of a deduplication window of the attempts that may have run; infinite if there is none.
     */
    public double deduplicationEndMs() {
        if (multiget.opType.idempotency != OpType.Idempotency.IDEMPOTENCY_KEY) {
            return Double.POSITIVE_INFINITY;
        }
        return attempts.stream()
                .filter(attempt -> !attempt.hasNotRun())
                .mapToDouble(attempt -> attempt.sentMs + multiget.opType.deduplicationWindowMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Whether the part has had an attempt at this server, with any outcome or none yet. */
    public boolean wasAttemptedAt(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt at this server has had no outcome yet. */
    public boolean isInFlightAt(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight() && attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
