package spartrail.coordination;

import java.util.List;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * What a front node asks of the module that decides. Times are milliseconds on the caller's clock. A front
 * end of any protocol builds multigets, makes the three calls, passes on news, and carries out the decisions
 * returned; it keeps its own timer and the multigets in hand. An instance belongs to one front node and one
 * thread.
 */
public interface Coordinator {

    // What is read at start, each part with its own few figures.

    /** How many front nodes there are, and the shortest time between two turns of this one. */
    Coordinator nodes(int count, double turnMs);

    /**
     * Shard s is held by the cells (s + j) mod cells, j from 0 to reach - 1; a call carries up to so many
     * parts.
     */
    Coordinator layout(int shards, int cells, int reach, int partsPerCall);

    /** Most sends of a part, whether two may be out at a time, and whether a send may be cancelled. */
    Coordinator sends(int most, boolean parallel, boolean cancelling);

    /**
     * Further sends in any span may not pass the free ones plus a share of what was taken; a span of 0 is no
     * budget.
     */
    Coordinator furtherSendBudget(double spanMs, double free, double share);

    /**
     * A cold server's least share of its capacity, when it is warm, and how much for how long pushes it over.
     */
    Coordinator coldStart(double leastShare, double warmMs, double tipMultiple, double fallMs);

    /** Whether clients are told when to come back, and the longest time that they heed. */
    Coordinator comeback(boolean allowed, double longestMs);

    /** Whether the list must be asked for, and how often at the least. */
    Coordinator list(boolean asked, double askWithinMs);

    /** The shard of this number, for the parts of a multiget. */
    Shard shard(int number);

    // The three calls.

    /** Where to send this multiget: now, not yet, or never. */
    Decisions place(Multiget mg, double nowMs);

    /** What to do after this outcome of a send, so long after it was sent. */
    Decisions after(Attempt send, Attempt.Outcome outcome, double tookMs, double nowMs);

    /** How long to wait, without other calls, until {@link #waited}. */
    double waitMs(double nowMs);

    // News.

    Decisions waited(double nowMs);

    Decisions clientGone(Multiget mg, double nowMs);

    /** Lines of the list: all of it or changes only, fresh or as last held before a restart. */
    Decisions listed(List<Server> lines, boolean all, boolean fresh, double nowMs);

    /** The list could not be had, or its changes no longer come. */
    Decisions unlisted(double nowMs);
}
