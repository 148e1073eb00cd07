package spartrail.lab.net;

import spartrail.peers.transport.PeerMessageCodec;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.PolicyMessageCodec;

/**
 * Encodes administrators' requests about policy as frames of the gossip protocol.
 *
 * @param fleet name of the fleet that the frames are for
 */
public record AdminFrameCodec(String fleet) implements AdminClient.FrameCodec {
    private static final int MAX_DATAGRAM_BYTES = 65_536;

    @Override
    public byte[] encode(byte[] piece) {
        return PeerMessageCodec.bytes(fleet, PolicyMessageCodec.CHANNEL, piece);
    }

    @Override
    public byte[] decode(byte[] datagram, int length) {
        try {
            PeerMessageCodec.Frame frame = PeerMessageCodec.read(datagram, length, fleet, MAX_DATAGRAM_BYTES);
            return frame.lane() == PolicyMessageCodec.CHANNEL ? frame.bytes() : null;
        } catch (PeerMessageCodec.Unusable e) {
            return null;
        }
    }
}
