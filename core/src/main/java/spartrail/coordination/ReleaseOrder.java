package spartrail.coordination;

import java.util.Comparator;
import spartrail.model.Multiget;
import spartrail.model.Part;

/**
 * The order in which queued parts are released, the same at every shard: by the window that contains the deadline of
 * the latency objective, then by a rank that is hashed from the multiget's id.
 */
final class ReleaseOrder {
    /**
     * Ranks are from 0 to this count, exclusive. The count is a power of two, as the rank is the low bits of a hash.
     */
    static final int RANK_COUNT = 32_768;

    private static final double DEADLINE_WINDOW_MS = 250;

    static final Comparator<Part> COMPARATOR = Comparator.<Part>comparingLong(part -> part.multiget.deadlineWindow)
            .thenComparingInt(part -> part.multiget.rank)
            .thenComparingLong(part -> part.multiget.id)
            .thenComparingLong(part -> part.id);

    private ReleaseOrder() {}

    /** Sets the release key of a multiget; its objective deadline must be set before. */
    static void assignKey(Multiget multiget) {
        multiget.deadlineWindow = (long) Math.floor(multiget.objectiveDeadlineMs / DEADLINE_WINDOW_MS);
        multiget.rank = computeRank(multiget.id);
    }

    private static int computeRank(long id) {
        long mixed = (id + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (int) ((mixed ^ mixed >>> 31) & (RANK_COUNT - 1));
    }
}
