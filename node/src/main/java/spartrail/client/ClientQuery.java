package spartrail.client;

import java.util.List;

/** What a client asks for: a multiget, decoded. */
public record ClientQuery(
        String id,
        String opType,
        String key,
        double clientLeftMs,
        boolean retry,
        List<QueriedPart> parts,
        byte[] text) {
    /** What one shard is to answer; the cost is 0 where the client names none. */
    public record QueriedPart(int shard, double weight, double costMs) {}
}
