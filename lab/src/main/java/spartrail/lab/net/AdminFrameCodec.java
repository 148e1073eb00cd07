package spartrail.lab.net;

import spartrail.peers.transport.PeerMessageCodec;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.PolicyMessageCodec;

/** Orders and questions about policy in the frames of talk. */
public record AdminFrameCodec(String fleet) implements AdminClient.FrameCodec {
    private static final int LONGEST = 65_536;

    @Override
    public byte[] encode(byte[] piece) {
        return PeerMessageCodec.bytes(fleet, PolicyMessageCodec.CHANNEL, piece);
    }

    @Override
    public byte[] decode(byte[] datagram, int length) {
        try {
            PeerMessageCodec.Frame frame = PeerMessageCodec.read(datagram, length, fleet, LONGEST);
            return frame.lane() == PolicyMessageCodec.CHANNEL ? frame.bytes() : null;
        } catch (PeerMessageCodec.Unusable e) {
            return null;
        }
    }
}
