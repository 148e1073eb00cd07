package spartrail.client;

import java.util.List;

/**
 * What a client asks for: a multiget, decoded.
 *
 * @param id as the client gave it
 * @param key null where the client names none
 * @param clientTimeoutMs how long the client waits
 * @param retry the client marks it as a repeat of its own
 * @param text what each server is asked
 */
public record ClientQuery(
        String id,
        String opType,
        String key,
        double clientTimeoutMs,
        boolean retry,
        List<QueriedPart> parts,
        byte[] text) {
    /** What one shard is to answer; the cost is 0 where the client names none. Weights of a query sum up to 1. */
    public record QueriedPart(int shard, double weight, double costMs) {}
}
