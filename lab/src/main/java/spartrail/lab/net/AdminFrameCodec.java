package spartrail.lab.net;

import spartrail.peers.transport.DatagramFrame;
import spartrail.peers.transport.MalformedDatagramException;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.PolicyMessageCodec;

/** Orders and questions about policy in the frames of talk. */
public record AdminFrameCodec(String fleet) implements AdminClient.FrameCodec {
    private static final int LONGEST = 65_536;

    @Override
    public byte[] encode(byte[] piece) {
        return DatagramFrame.encodeBytes(fleet, PolicyMessageCodec.LANE, piece);
    }

    @Override
    public byte[] decode(byte[] datagram, int length) {
        try {
            DatagramFrame frame = DatagramFrame.decode(datagram, length, fleet, LONGEST);
            return frame.channel() == PolicyMessageCodec.LANE ? frame.bytes() : null;
        } catch (MalformedDatagramException e) {
            return null;
        }
    }
}
