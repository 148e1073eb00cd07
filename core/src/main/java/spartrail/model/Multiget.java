package spartrail.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A request of a client, answered from parts. A front end may subclass it to add state of its own. */
public class Multiget {
    /** The kind of final answer. */
    public enum Answer {
        COMPLETE,
        PARTIAL,
        /** Given up; a retry by the client is harmless. */
        REJECTED,
        FAILED
    }

    public long id;
    /** The number of the multiget at this node; a protocol without such numbers uses the id. */
    public long number;

    public OpType opType;
    public String tenant;
    public String key;
    /** Whether the client has marked the multiget as a retry. */
    public boolean clientRetry;

    public boolean write;
    public double arrivedMs;
    public double clientTimeLeftMs;
    public double costMs;
    public List<Part> parts = new ArrayList<>();

    /** The release key, the same in every queue: the deadline window, then the rank. */
    public long deadlineWindow;

    public int rank;
    /** The time from which the latency objective is missed. */
    public double objectiveDeadlineMs;

    /** The time at which the client stops waiting. */
    public double clientDeadlineMs;

    public double answeredWeight;
    /** Number of parts that are neither answered nor abandoned. */
    public int openParts;
    /** Total weight of the open parts. */
    public double openWeight;
    /** Shards in whose queues a part of the multiget is. */
    public final Set<Shard> queuedShards = new HashSet<>();
    /** Number of attempts that have had no outcome yet. */
    public int attemptsInFlight;
    /** Servers that have reset a connection with an attempt of the multiget, since a part was last answered. */
    public final Set<Server> connectionsResetBy = new HashSet<>();
    /** If set, no more parts are sent until one is answered. */
    public boolean awaitingFirstAnswer;
    /** Timers that are cancelled when the multiget is finished. */
    public final List<TimerQueue.Timer> timers = new ArrayList<>();

    /** Whether the final answer is decided, or the client has gone. */
    public boolean finished;

    public Answer answer;
    /** The Retry-After of a rejection; 0 if it carries none. */
    public double retryAfterMs;
}
