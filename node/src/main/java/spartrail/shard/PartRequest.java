package spartrail.shard;

import java.util.function.BooleanSupplier;
import spartrail.model.Attempt;

/** One part on its way to a server; its fields from the stage on belong to the I/O thread. */
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
    /** Until when this node waits for the answer. */
    final double answerByMs;
    /** Until when its frame may begin. */
    final double beginByMs;
    /** Whether its client is still there; asked on the I/O thread. */
    final BooleanSupplier clientWaiting;

    Stage stage = Stage.QUEUED;
    double queuedMs;
    ShardConnection connection;
    PartBatch batch;

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
     * Danger: between decision and frame a connection may come up late, a write may be blocked, the process may stand
     * still; what was right when it was decided need not be so now.
     */
    boolean mayBegin(double nowMs) {
        return nowMs <= beginByMs && clientWaiting.getAsBoolean();
    }

    public Attempt attempt() {
        return attempt;
    }
}
