package spartrail.shard;

import java.util.function.BooleanSupplier;
import spartrail.model.Attempt;

/** One attempt of a part, to be sent to a server. Its mutable fields belong to the I/O thread. */
public final class PartRequest {
    /** The progress of the attempt. */
    enum Stage {
        QUEUED,
        WRITING,
        WRITTEN,
        ENDED
    }

    final Attempt attempt;
    final String id;
    final int shard;
    final byte[] text;
    /** The time until which this node waits for the response. */
    final double answerByMs;
    /** The latest time at which its frame may begin. */
    final double beginByMs;
    /** Whether its client still waits; called on the I/O thread. */
    final BooleanSupplier clientWaiting;

    Stage stage = Stage.QUEUED;
    /** The time at which it was queued on a connection. */
    double queuedMs;

    ShardConnection connection;
    PartBatch batch;

    /**
     * Creates a request for an attempt.
     *
     * @param id identifies the part in the server's response
     * @param text the text of the query
     * @param answerByMs the time until which the node waits for the response
     * @param clientWaiting whether its client still waits; called on the I/O thread
     */
    public PartRequest(
            Attempt attempt, String id, int shard, byte[] text, double answerByMs, BooleanSupplier clientWaiting) {
        this.attempt = attempt;
        this.id = id;
        this.shard = shard;
        this.text = text;
        this.answerByMs = answerByMs;
        this.beginByMs = Math.min(answerByMs, attempt.sendDeadlineMs);
        this.clientWaiting = clientWaiting;
    }

    /**
     * Whether its frame may still begin. The decision may be outdated by now, as a slow connect, a blocked write or a
     * pause of the process can delay the frame.
     */
    boolean mayBegin(double nowMs) {
        return nowMs <= beginByMs && clientWaiting.getAsBoolean();
    }

    /** The coordinator's attempt. */
    public Attempt attempt() {
        return attempt;
    }
}
