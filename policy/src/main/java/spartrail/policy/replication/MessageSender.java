package spartrail.policy.replication;

import java.util.List;
import spartrail.peers.PeerChannel.Context;

/** Sends policy messages to nodes and operators, split into datagrams. Messages may be lost. */
final class MessageSender {
    private final Context channel;
    private final DatagramSplitter splitter;

    MessageSender(Context channel, DatagramSplitter splitter) {
        this.channel = channel;
        this.splitter = splitter;
    }

    /** Sends a message, unless the address is null or empty because the receiver's address is not known. */
    void send(String address, PolicyMessage message) {
        if (address == null || address.isEmpty()) {
            return;
        }
        String subject = crashPointName(message);
        CrashPoint.haltIfArmedBefore(CrashPoint.Activity.SENDING, subject);
        List<byte[]> pieces = splitter.split(PolicyMessageCodec.encode(message));
        pieces.forEach(piece -> channel.send(address, piece));
        CrashPoint.haltIfArmedAfter(CrashPoint.Activity.SENDING, subject);
    }

    private static String crashPointName(PolicyMessage message) {
        if (message instanceof PolicyMessage.Raft raft) {
            return RaftMessageKind.of(raft.message()).crashPointName();
        }
        return message.kind().crashPointName();
    }
}
