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
    public double rating = 1;
    /** Clock time of its latest start; negative where the list names none. */
    public double bornMs = -1;
    /** The shards it holds. */
    public List<Shard> shards = new ArrayList<>();

    /** Sends out, in order of sending, and the number of calls that carry them. */
    public final Set<Attempt> out = new LinkedHashSet<>();

    public int callsOut;
    /** The latest call; parts of the same turn may still join it. */
    public AttemptBatch call;
    /** Order in which replicas are taken in turn. */
    public long lastTurn;
    /** Most parts that may be out. */
    public int limit;

    public double halvedMs;
    /** Time of answers over what their op type usually takes; 1 is as usual. */
    public double pace = 1;

    public double lastAnswerMs;
    /** When the latest sent of the answered sends was sent. */
    public double lastAnsweredSentMs;

    public boolean ill;
    /** When an answer of it could last not be read. */
    public double garbledMs;
    /** Beats since it was last listed. */
    public int goneBeats;
    /** Parts answered in the present beat, and in a millisecond lately. */
    public int answers;

    public double answerRate;
    /** Times of sends while cold, not older than the span that counts. */
    public final SlidingWindowCounter coldSends = new SlidingWindowCounter();

    public Server(String id) {
        this.id = id;
    }
}
