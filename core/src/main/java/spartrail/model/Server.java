package spartrail.model;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A server of the list, with what this node has out there and has seen of it. */
public final class Server {
    /** What the list says of the process. */
    public enum State {
        LIVE,
        DRAINING,
        GONE
    }

    public final String id;
    public String zone;
    public String kind;
    public int cell;
    public State state = State.LIVE;
    public double weight = 1;
    /** Clock time of its latest start; negative where the list names none. */
    public double startedAtMs = -1;
    /** The shards it holds. */
    public List<Shard> shards = new ArrayList<>();

    /** Sends out, in order of sending, and the number of calls that carry them. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();

    public int batchesInFlight;
    /** The latest call; parts of the same turn may still join it. */
    public AttemptBatch latestBatch;
    /** Order in which replicas are taken in turn. */
    public long lastPickNumber;
    /** Most parts that may be out. */
    public int concurrencyLimit;

    public double limitHalvedMs;
    /** Time of answers over what their op type usually takes; 1 is as usual. */
    public double relativeLatency = 1;

    public double lastAnswerMs;
    /** When the latest sent of the answered sends was sent. */
    public double lastAnsweredSentMs;

    public boolean ejected;
    /** When an answer of it could last not be read. */
    public double lastMalformedMs;
    /** Beats since it was last listed. */
    public int ticksSinceRemoval;
    /** Parts answered in the present beat, and in a millisecond lately. */
    public int answersThisTick;

    public double answerRate;
    /** Times of sends while cold, not older than the span that counts. */
    public final SlidingWindowCounter warmUpAttempts = new SlidingWindowCounter();

    public Server(String id) {
        this.id = id;
    }
}
