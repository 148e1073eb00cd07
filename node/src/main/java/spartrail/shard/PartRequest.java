package spartrail.shard;

import java.util.function.BooleanSupplier;
import spartrail.model.Attempt;

/** One attempt of a part on its way to a server. What changes of it belongs to the I/O thread. */
public final class PartRequest {
    /** How far it has come. */
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
    /** Until when this node waits for the response. */
    final double answerByMs;
    /** Until when its frame may begin. */
    final double beginByMs;
    /** Whether its client is still there; asked on the I/O thread. */
    final BooleanSupplier clientWaiting;

    Stage stage = Stage.QUEUED;
    /** When it was given to a connection. */
    double queuedMs;

    ShardConnection connection;
    PartBatch batch;

    /**
     * An attempt that is to be sent.
     *
     * @param id by which the server answers
     * @param text what the server is asked
     * @param answerByMs until when the node waits for the response
     * @param clientWaiting whether its client is still there; asked on the I/O thread
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
     * Whether its frame may still begin. Between decision and frame a connection may come up late, a write may be blocked, the process may
     * be paused; what was right when it was decided need not be so now.
     */
    boolean mayBegin(double nowMs) {
        return nowMs <= beginByMs && clientWaiting.getAsBoolean();
    }

    /** The attempt that the coordinator decided. */
    public Attempt attempt() {
        return attempt;
    }
}
