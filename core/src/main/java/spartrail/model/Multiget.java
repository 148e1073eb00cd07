package spartrail.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A request of a client, answered from parts. A front end may extend it by what it needs. */
public class Multiget {
    /** How a multiget was answered. */
    public enum Answer {
        COMPLETE,
        PARTIAL,
        /** Given up where a retry by the client is harmless. */
        REJECTED,
        FAILED
    }

    public long id;
    /** Its number at this node; a protocol without one uses the id. */
    public long number;

    public OpType opType;
    public String tenant;
    public String key;
    /** Whether the client marks it as a retry. */
    public boolean clientRetry;

    public boolean write;
    public double arrivedMs;
    public double clientTimeLeftMs;
    public double costMs;
    public List<Part> parts = new ArrayList<>();

    /** Key in every queue: the deadline window, then the rank. */
    public long deadlineWindow;

    public int rank;
    /** When its latency objective is missed. */
    public double objectiveDeadlineMs;

    /** When the client stops waiting. */
    public double clientDeadlineMs;

    public double answeredWeight;
    /** Parts that are neither answered nor abandoned, and their weight. */
    public int openParts;

    public double openWeight;
    /** Shards with a queued part of it. */
    public final Set<Shard> queuedShards = new HashSet<>();
    /** Its attempts that have had no outcome yet. */
    public int attemptsInFlight;
    /** Servers that reset the connection of one of its attempts since a part was last answered. */
    public final Set<Server> connectionsResetBy = new HashSet<>();
    /** Nothing more of it is sent until one of its parts is answered. */
    public boolean awaitingFirstAnswer;
    /** Timers that are cancelled when it is finished. */
    public final List<TimerQueue.Timer> timers = new ArrayList<>();

    /** Whether its final answer is decided or its client has gone. */
    public boolean finished;

    public Answer answer;
    /** The Retry-After of a rejection; 0 for none. */
    public double retryAfterMs;
}
