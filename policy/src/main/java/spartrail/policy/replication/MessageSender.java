package spartrail.policy.replication;

import java.util.List;
import spartrail.peers.PeerChannel.Context;

/** Sends messages about policy to nodes and operators, in pieces that fit into datagrams. They may be lost. */
final class MessageSender {
    private final Context channel;
    private final DatagramSplitter splitter;

    MessageSender(Context channel, DatagramSplitter splitter) {
        this.channel = channel;
        this.splitter = splitter;
    }

    /** Sends a message, unless the address is null or empty, as of a node that is not known. */
    void send(String address, PolicyMessage message) {
        if (address == null || address.isEmpty()) {
            return;
        }
        String subject = crashPointName(message);
        CrashPoint.before(CrashPoint.Activity.SENDING, subject);
        List<byte[]> pieces = splitter.split(PolicyMessageCodec.encode(message));
        pieces.forEach(piece -> channel.send(address, piece));
        CrashPoint.after(CrashPoint.Activity.SENDING, subject);
    }

    private static String crashPointName(PolicyMessage message) {
        if (message instanceof PolicyMessage.Raft raft) {
            return RaftMessageKind.of(raft.message()).crashPointName();
        }
        return message.kind().crashPointName();
    }
}
