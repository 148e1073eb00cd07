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
 * Messages among nodes as the payload of a {@link DatagramFrame}. Kinds and states are the numbers of their constants.
 *
 * <pre>
 *  payload     [kind, descriptor, state, ageMs, recipient, nonce, digest, descriptor or null, [update ...]]
 *  descriptor  [name, address, zone, weight, program, settings, startMs, nonce, refutations]
 *  update      [descriptor, state, ageMs, accuser]
 * </pre>
 */
public final class PeerMessageCodec {
    /** What the sender's and the target's descriptors and the head take of a frame where names are of usual length. */
    static final int DESCRIPTOR_BYTES = 400;

    private PeerMessageCodec() {}

    /** The datagram that holds the message. */
    public static byte[] encode(String fleet, PeerMessage message) {
        return DatagramFrame.encode(fleet, DatagramFrame.GOSSIP_CHANNEL, out -> write(out, message));
    }

    private static void write(JsonGenerator out, PeerMessage message) throws IOException {
        out.writeStartArray();
        out.writeNumber(message.kind().ordinal());
        write(out, message.sender());
        out.writeNumber(message.state().ordinal());
        out.writeNumber(message.incarnationAgeMs());
        out.writeString(message.recipient());
        out.writeNumber(message.nonce());
        out.writeNumber(message.digest());
        if (message.target() == null) {
            out.writeNull();
        } else {
            write(out, message.target());
        }
        out.writeStartArray();
        for (PeerUpdate update : message.updates()) {
            write(out, update);
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    private static void write(JsonGenerator out, PeerUpdate update) throws IOException {
        out.writeStartArray();
        write(out, update.descriptor());
        out.writeNumber(update.state().ordinal());
        out.writeNumber(update.incarnationAgeMs());
        out.writeString(update.suspectingPeer());
        out.writeEndArray();
    }

    private static void write(JsonGenerator out, PeerDescriptor descriptor) throws IOException {
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

    /** The message that the frame holds. */
    public static PeerMessage decode(DatagramFrame frame) throws MalformedDatagramException {
        CborArray values = CborArray.of(frame.payload());
        int kind = values.number(0).intValue();
        if (kind < 0 || kind >= PeerMessage.Kind.values().length) {
            throw new MalformedDatagramException(Problem.UNKNOWN_KIND);
        }
        int state = values.number(2).intValue();
        if (!isKnownState(state)) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        return new PeerMessage(
                PeerMessage.Kind.values()[kind],
                descriptor(values.array(1)),
                PeerState.values()[state],
                values.number(3).doubleValue(),
                values.text(4),
                values.number(5).longValue(),
                values.number(6).longValue(),
                values.value(7) == null ? null : descriptor(values.array(7)),
                updates(values.array(8)));
    }

    /** Updates with states that this version doesn't know are passed over. */
    private static List<PeerUpdate> updates(CborArray values) throws MalformedDatagramException {
        List<PeerUpdate> updates = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            CborArray update = values.array(i);
            int state = update.number(1).intValue();
            if (isKnownState(state)) {
                updates.add(new PeerUpdate(
                        descriptor(update.array(0)),
                        PeerState.values()[state],
                        update.number(2).doubleValue(),
                        update.text(3)));
            }
        }
        return updates;
    }

    private static boolean isKnownState(int number) {
        return number >= 0 && number < PeerState.values().length;
    }

    private static PeerDescriptor descriptor(CborArray values) throws MalformedDatagramException {
        return new PeerDescriptor(
                values.text(0),
                values.text(1),
                values.text(2),
                values.number(3).doubleValue(),
                values.text(4),
                values.text(5),
                new Incarnation(values.number(6).longValue(), values.number(7).intValue()),
                values.number(8).intValue());
    }
}
