package spartrail.model;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A server of the endpoint list, with what this node has in flight there and has seen of it.
 *
 * <p>The fields are public as decisions read them for each replica of each part, of which there may be hundreds; a map beside the
 * server would be looked up as often. Each group names the class of {@code spartrail.coordination} that writes it.
 */
public final class Server {
    /** What the endpoint list says of the process. */
    public enum State {
        LIVE,
        DRAINING,
        GONE
    }

    // EndpointTracker, from the endpoint list.

    public final String id;
    public String zone;
    public String kind;
    public int cell;
    public State state = State.LIVE;
    public double weight = 1;
    /** Time of its latest start on the node's clock; negative where the list names none. */
    public double startedAtMs = -1;
    /** The shards it holds. */
    public List<Shard> shards = new ArrayList<>();

    /** Ticks since it was last listed. */
    public int ticksSinceRemoval;

    // ReleaseQueue: what is in flight there.

    /** Attempts in flight, in order of sending. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();

    /** Batches that carry them. */
    public int batchesInFlight;
    /** The latest batch; attempts of the same event loop iteration may still join it. */
    public AttemptBatch latestBatch;
    /** Number of the latest pick, so that equal replicas are picked in turn. */
    public long lastPickNumber;
    // ConcurrencyLimiter.

    /** Most attempts that may be in flight; 0 until the server is first listed. */
    public int concurrencyLimit;

    public double limitHalvedMs;
    // OutlierDetector.

    /** Latency of its answers over the mean of their op types; 1 is as usual. */
    public double relativeLatency = 1;

    public double lastAnswerMs;
    /** When the latest sent of the answered attempts was sent. */
    public double lastAnsweredSentMs;

    public boolean ejected;
    /** When an answer of it could last not be decoded. */
    public double lastMalformedMs;
    // SlowStart.

    /** Parts answered in this tick, and in a millisecond lately. */
    public int answersThisTick;

    public double answerRate;
    /** Attempts while it warms up, as far back as they count. */
    public final SlidingWindowCounter warmUpAttempts = new SlidingWindowCounter();

    /** One that nothing is known of. */
    public Server(String id) {
        this.id = id;
    }
}
