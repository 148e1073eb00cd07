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
    public boolean held;
    public double heldSinceMs;
    public boolean answered;
    public boolean abandoned;
    public final List<Attempt> sends = new ArrayList<>();

    /** Its answer is still waited for. */
    public boolean open() {
        return !answered && !abandoned;
    }

    public boolean sendOut() {
        for (Attempt send : sends) {
            if (send.out()) {
                return true;
            }
        }
        return false;
    }

    /** The end of the deduplication window of what may have run of it; endless where there is none. */
    public double windowEndsMs() {
        return multiget.opType.repeat != OpType.Repeat.DEDUPED
                ? Double.POSITIVE_INFINITY
                : sends.stream()
                        .filter(send -> !send.neverRan())
                        .mapToDouble(send -> send.sentMs + multiget.opType.dedupMs)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    public boolean triedAt(Server server) {
        for (Attempt send : sends) {
            if (send.server == server) {
                return true;
            }
        }
        return false;
    }

    public boolean outAt(Server server) {
        for (Attempt send : sends) {
            if (send.out() && send.server == server) {
                return true;
            }
        }
        return false;
    }
}
