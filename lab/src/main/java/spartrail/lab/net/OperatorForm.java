package spartrail.lab.net;

import spartrail.governing.Operator;
import spartrail.governing.Wire;
import spartrail.peering.Frames;

/** Orders and questions about policy in the frames of talk. */
public record OperatorForm(String fleet) implements Operator.Form {
    private static final int LONGEST = 65_536;

    @Override
    public byte[] frame(byte[] piece) {
        return Frames.bytes(fleet, Wire.LANE, piece);
    }

    @Override
    public byte[] piece(byte[] datagram, int length) {
        try {
            Frames.Frame frame = Frames.read(datagram, length, fleet, LONGEST);
            return frame.lane() == Wire.LANE ? frame.bytes() : null;
        } catch (Frames.Unusable e) {
            return null;
        }
    }
}
