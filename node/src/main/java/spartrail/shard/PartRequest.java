package spartrail.shard;

import java.util.function.BooleanSupplier;
import spartrail.model.Attempt;

/** One part on its way to a server; its fields from the stage on belong to the I/O thread. */
public final class PartRequest {
    /** How far it has come. */
    enum Stage {
        WAITING,
        BEGUN,
        WRITTEN,
        ENDED
    }

    final Attempt send;
    final String id;
    final int shard;
    final byte[] text;
    /** Until when this node waits for the answer. */
    final double untilMs;
    /** Until when its frame may begin. */
    final double leaveByMs;
    /** Whether its client is still there; asked on the I/O thread. */
    final BooleanSupplier wanted;

    Stage stage = Stage.WAITING;
    double givenMs;
    ShardConnection connection;
    PartBatch call;

    public PartRequest(Attempt send, String id, int shard, byte[] text, double untilMs, BooleanSupplier wanted) {
        this.send = send;
        this.id = id;
        this.shard = shard;
        this.text = text;
        this.untilMs = untilMs;
        this.leaveByMs = Math.min(untilMs, send.sendDeadlineMs);
        this.wanted = wanted;
    }

    /**
     * Danger: between decision and frame a connection may come up late, a write may be blocked, the process may stand
     * still; what was right when it was decided need not be so now.
     */
    boolean mayLeave(double nowMs) {
        return nowMs <= leaveByMs && wanted.getAsBoolean();
    }

    public Attempt send() {
        return send;
    }
}
