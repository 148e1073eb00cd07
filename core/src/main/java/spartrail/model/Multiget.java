package spartrail.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What a client asked for: an answer put together from parts. A front end may extend it by what it needs. */
public class Multiget {
    /** How a multiget was answered. */
    public enum Answer {
        COMPLETE,
        PARTIAL,
        REJECTED,
        FAILED
    }

    public long id;
    /** Its number at this node; a protocol without one uses the id. */
    public long number;

    public OpType opType;
    public String tenant;
    public String key;
    public boolean clientRetry;
    public boolean write;
    public double arrivedMs;
    public double clientTimeLeftMs;
    public double costMs;
    public List<Part> parts = new ArrayList<>();

    /** Place in every queue: the deadline window, then the rank. */
    public long deadlineWindow;

    public int rank;
    /** When the latency budget and the client's time end. */
    public double objectiveDeadlineMs;

    public double clientDeadlineMs;
    public double answeredWeight;
    /** Parts that are neither answered nor abandoned, and their weight. */
    public int openParts;

    public double openWeight;
    /** Shards with a held part of it. */
    public final Set<Shard> queuedAt = new HashSet<>();
    /** Its sends that have had no outcome yet. */
    public int attemptsInFlight;
    /** Servers that broke the connection of one of its sends. */
    public final Set<Server> connectionsResetBy = new HashSet<>();
    /** Nothing more of it is sent until one of its parts is answered. */
    public boolean awaitingFirstAnswer;
    /** What is due for it while it is in hand. */
    public final List<TimerQueue.Timer> timers = new ArrayList<>();

    public boolean finished;
    public Answer answer;
    public double retryAfterMs;
}
