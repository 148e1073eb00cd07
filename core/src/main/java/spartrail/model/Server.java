package spartrail.model;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A server of the endpoint list, with this node's attempts in flight there and what the node has observed of it.
 *
 * <p>The fields are public because decisions read them for each replica of each part, and a shard may have hundreds of
 * replicas; state in a separate map would need a look-up each time. Each group of fields names the class of {@code
 * spartrail.coordination} that writes it.
 */
public final class Server {
    /** The state of the server process in the endpoint list. */
    public enum State {
        LIVE,
        DRAINING,
        GONE
    }

    // Written by EndpointTracker, from the endpoint list.

    public final String id;
    public String zone;
    public String kind;
    public int cell;
    public State state = State.LIVE;
    public double weight = 1;
    /** Time of the latest start of the process, on the node's clock; negative if the list gives none. */
    public double startedAtMs = -1;
    /** The shards that the server holds. */
    public List<Shard> shards = new ArrayList<>();

    /** Number of ticks since the server was last listed. */
    public int ticksSinceRemoval;

    // Written by ReleaseQueue.

    /** Attempts in flight, in order of sending. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();

    /** Number of batches with an attempt in flight. */
    public int batchesInFlight;
    /** The latest batch; attempts of the same event loop iteration may still join it. */
    public AttemptBatch latestBatch;
    /** Sequence number of the latest pick, by which equally loaded replicas are picked in turn. */
    public long lastPickNumber;

    // Written by ConcurrencyLimiter.

    /** Most attempts that may be in flight; 0 until the server is first listed. */
    public int concurrencyLimit;

    public double limitHalvedMs;

    // Written by OutlierDetector.

    /** Latency of the answers divided by the mean latency of their op types; 1 is normal. */
    public double relativeLatency = 1;

    public double lastAnswerMs;
    /** The latest time of sending among the answered attempts. */
    public double lastAnsweredSentMs;

    public boolean ejected;
    /** Time of the last answer that could not be decoded. */
    public double lastMalformedMs;

    // Written by SlowStart.

    /** Number of parts answered in this tick. */
    public int answersThisTick;
    /** Moving average of the parts answered per millisecond. */
    public double answerRate;
    /** Attempts while the server warms up, as far back as they count. */
    public final SlidingWindowCounter warmUpAttempts = new SlidingWindowCounter();

    /** A server that nothing is known about. */
    public Server(String id) {
        this.id = id;
    }
}
