package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.PeerUpdate;
import spartrail.peers.transport.MalformedDatagramException.Problem;

/**
 * Encodes and decodes gossip messages as the payload of a {@link DatagramFrame}. Kinds and states are written as the
 * ordinals of their constants.
 *
 * <pre>
 *  payload     [kind, descriptor, state, ageMs, recipient, nonce, digest, descriptor or null, [update ...]]
 *  descriptor  [name, address, zone, weight, program, settings, startMs, nonce, refutations]
 *  update      [descriptor, state, ageMs, suspectingPeer]
 * </pre>
 */
public final class PeerMessageCodec {
    /**
     * Size of the sender's and the target's descriptors and of the header in a frame, if names have the usual length.
     */
    static final int DESCRIPTOR_BYTES = 400;

    private PeerMessageCodec() {}

    /** Encodes the message as a datagram. */
    public static byte[] encode(String fleet, PeerMessage message) {
        return DatagramFrame.encode(fleet, DatagramFrame.GOSSIP_CHANNEL, out -> writeMessage(out, message));
    }

    private static void writeMessage(JsonGenerator out, PeerMessage message) throws IOException {
        out.writeStartArray();
        out.writeNumber(message.kind().ordinal());
        writeDescriptor(out, message.sender());
        out.writeNumber(message.state().ordinal());
        out.writeNumber(message.incarnationAgeMs());
        out.writeString(message.recipient());
        out.writeNumber(message.nonce());
        out.writeNumber(message.digest());
        if (message.target() == null) {
            out.writeNull();
        } else {
            writeDescriptor(out, message.target());
        }
        out.writeStartArray();
        for (PeerUpdate update : message.updates()) {
            writeUpdate(out, update);
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    private static void writeUpdate(JsonGenerator out, PeerUpdate update) throws IOException {
        out.writeStartArray();
        writeDescriptor(out, update.descriptor());
        out.writeNumber(update.state().ordinal());
        out.writeNumber(update.incarnationAgeMs());
        out.writeString(update.suspectingPeer());
        out.writeEndArray();
    }

    private static void writeDescriptor(JsonGenerator out, PeerDescriptor descriptor) throws IOException {
        out.writeStartArray();
        out.writeString(descriptor.name());
        out.writeString(descriptor.address());
        out.writeString(descriptor.zone());
        out.writeNumber(descriptor.weight());
        out.writeString(descriptor.programVersion());
        out.writeString(descriptor.settingsVersion());
        out.writeNumber(descriptor.incarnation().startMs());
        out.writeNumber(descriptor.incarnation().nonce());
        out.writeNumber(descriptor.refutations());
        out.writeEndArray();
    }

    /** Decodes the message in the frame's payload. */
    public static PeerMessage decode(DatagramFrame frame) throws MalformedDatagramException {
        CborArray values = CborArray.of(frame.payload());
        int kind = values.numberAt(0).intValue();
        if (kind < 0 || kind >= PeerMessage.Kind.values().length) {
            throw new MalformedDatagramException(Problem.UNKNOWN_KIND);
        }
        int state = values.numberAt(2).intValue();
        if (!isKnownState(state)) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        return new PeerMessage(
                PeerMessage.Kind.values()[kind],
                readDescriptor(values.arrayAt(1)),
                PeerState.values()[state],
                values.numberAt(3).doubleValue(),
                values.textAt(4),
                values.numberAt(5).longValue(),
                values.numberAt(6).longValue(),
                values.valueAt(7) == null ? null : readDescriptor(values.arrayAt(7)),
                readUpdates(values.arrayAt(8)));
    }

    /** Decodes updates; ignores those with states that this version does not know. */
    private static List<PeerUpdate> readUpdates(CborArray values) throws MalformedDatagramException {
        List<PeerUpdate> updates = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            CborArray update = values.arrayAt(i);
            int state = update.numberAt(1).intValue();
            if (isKnownState(state)) {
                updates.add(new PeerUpdate(
                        readDescriptor(update.arrayAt(0)),
                        PeerState.values()[state],
                        update.numberAt(2).doubleValue(),
                        update.textAt(3)));
            }
        }
        return updates;
    }

    private static boolean isKnownState(int number) {
        return number >= 0 && number < PeerState.values().length;
    }

    private static PeerDescriptor readDescriptor(CborArray values) throws MalformedDatagramException {
        return new PeerDescriptor(
                values.textAt(0),
                values.textAt(1),
                values.textAt(2),
                values.numberAt(3).doubleValue(),
                values.textAt(4),
                values.textAt(5),
                new Incarnation(
                        values.numberAt(6).longValue(), values.numberAt(7).intValue()),
                values.numberAt(8).intValue());
    }
}
