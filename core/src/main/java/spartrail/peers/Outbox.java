package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.peers.PeerMessage.Kind;

/** Messages that this node wants sent, until its owner takes them. */
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

    /** The digest of this node's view; equal ones need no comparison. */
    long viewDigest() {
        return local.digest() ^ table.digest();
    }

    List<OutgoingMessage> drain() {
        List<OutgoingMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }
}
