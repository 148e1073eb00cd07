package spartrail.client;

import java.util.List;

/**
 * A client's decoded query for a multiget.
 *
 * @param id the client's id of the query
 * @param key null if the path has none
 * @param clientTimeoutMs how long the client waits for the response
 * @param retry whether the client marks the query as a retry
 * @param text the text that each server gets
 */
public record ClientQuery(
        String id,
        String opType,
        String key,
        double clientTimeoutMs,
        boolean retry,
        List<QueriedPart> parts,
        byte[] text) {
    /**
     * A part of the query, for one shard. The cost is 0 if the client states none. The weights of a query add up to 1.
     */
    public record QueriedPart(int shard, double weight, double costMs) {}
}
