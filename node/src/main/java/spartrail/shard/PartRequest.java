package spartrail.shard;

import spartrail.model.Send;

/** One part on its way to a server; its fields beyond the first five belong to the I/O thread. */
public final class PartRequest {
    /** How far it has come. */
    enum Stage { WAITING, BEGUN, WRITTEN, ENDED }

    final Send send;
    final String id;
    final int shard;
    final byte[] text;
    /** Until when this node waits for the answer. */
    final double untilMs;

    Stage stage = Stage.WAITING;
    double givenMs;
    ShardConnection connection;
    ShardCall call;

    public PartRequest(Send send, String id, int shard, byte[] text, double untilMs) {
        this.send = send;
        this.id = id;
        this.shard = shard;
        this.text = text;
        this.untilMs = untilMs;
    }

    public Send send() {
        return send;
    }
}
