package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.peers.PeerMessage.Kind;

/** Buffers this node's outgoing messages until its owner drains them. */
final class Outbox {
    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final List<OutgoingMessage> messages = new ArrayList<>();

    Outbox(MembershipContext context, LocalPeer local, PeerTable table) {
        this.context = context;
        this.local = local;
        this.table = table;
    }

    void send(
            String address, Kind kind, String recipient, long nonce, PeerDescriptor target, List<PeerUpdate> updates) {
        PeerMessage message = new PeerMessage(
                kind,
                local.descriptor(),
                local.state(),
                local.incarnationAgeMs(),
                recipient,
                nonce,
                viewDigest(),
                target,
                updates);
        messages.add(new OutgoingMessage(address, message));
    }

    /** The digest of this node's view; nodes with equal digests have the same view. */
    long viewDigest() {
        return local.digest() ^ table.digest();
    }

    List<OutgoingMessage> drain() {
        List<OutgoingMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }
}
