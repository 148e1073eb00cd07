package spartrail.lab.net;

import spartrail.peers.transport.DatagramFrame;
import spartrail.peers.transport.MalformedDatagramException;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.PolicyMessageCodec;

/**
 * Encodes an administrator's policy requests as frames of the gossip protocol.
 *
 * @param fleet name of the fleet that the frames belong to
 */
public record AdminFrameCodec(String fleet) implements AdminClient.FrameCodec {
    private static final int MAX_DATAGRAM_BYTES = 65_536;

    @Override
    public byte[] encode(byte[] piece) {
        return DatagramFrame.encodeBytes(fleet, PolicyMessageCodec.CHANNEL, piece);
    }

    @Override
    public byte[] decode(byte[] datagram, int length) {
        try {
            DatagramFrame frame = DatagramFrame.decode(datagram, length, fleet, MAX_DATAGRAM_BYTES);
            return frame.channel() == PolicyMessageCodec.CHANNEL ? frame.payloadBytes() : null;
        } catch (MalformedDatagramException e) {
            return null;
        }
    }
}
