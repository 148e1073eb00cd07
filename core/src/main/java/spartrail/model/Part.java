package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The share of a multiget that one shard answers.
 *
 * <p>Cost: each question goes over its sends, a few. Danger: two of them are asked of every replica for every part; a stream
 * for each took most of a query's processor time where a shard has hundreds of replicas.
 */
public final class Part {
    public long id;
    public Multiget multiget;
    public Shard shard;
    public double weight;
    public double costMs;
    public boolean queued;
    public double queuedSinceMs;
    public boolean answered;
    public boolean abandoned;
    public final List<Attempt> attempts = new ArrayList<>();

    /** Its answer is still waited for. */
    public boolean isOpen() {
        return !answered && !abandoned;
    }

    public boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                return true;
            }
        }
        return false;
    }

    /** The end of the deduplication window of what may have run of it; endless where there is none. */
    public double deduplicationEndMs() {
        return multiget.opType.idempotency != OpType.Idempotency.IDEMPOTENCY_KEY
                ? Double.POSITIVE_INFINITY
                : attempts.stream()
                        .filter(attempt -> !attempt.hasNotRun())
                        .mapToDouble(attempt -> attempt.sentMs + multiget.opType.deduplicationWindowMs)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    public boolean wasAttemptedAt(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    public boolean isInFlightAt(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight() && attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
