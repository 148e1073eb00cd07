package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import spartrail.json.JsonTree;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.PeerUpdate;

/**
 * The form of what nodes send each other: a CBOR array (RFC 8949) and the CRC-32C of its bytes (RFC 3720). Its first three
 * values are the version of the form, the fleet's name and what the rest is for; all arrays may have more values at their end
 * than a reader knows, so that the next version's nodes and this one's can mix.
 *
 * <pre>
 *  frame    [version, fleet, lane, ...] crc
 *  lane 1   text, a question of an operator
 *  lane 2   text, a page of the reply to it
 *  lane 3   bytes of policy, see spartrail.policy.replication
 *  lane 0   [kind, card, standing, ageMs, to, nonce, digest, card or null, [word ...]]
 *  card     [name, address, zone, weight, program, settings, startMs, nonce, turn]
 *  word     [card, standing, ageMs, by]
 * </pre>
 */
public final class PeerMessageCodec {
    public static final int VERSION = 1;
    /** What fits into one datagram on an Ethernet without being cut into pieces. */
    public static final int MAX_FRAME_BYTES = 1400;
    /** A frame's cards and head take at most so much of it where names are of usual length. */
    static final int LEFT_FOR_CARDS = 400;
    /** What the rest of a frame is for. */
    public static final int GOSSIP_CHANNEL = 0;

    public static final int ADMIN_REQUEST_CHANNEL = 1;
    public static final int ADMIN_RESPONSE_CHANNEL = 2;
    private static final int CRC = 4;

    private static final CBORFactory CBOR = CBORFactory.builder()
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS)
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_DOUBLES)
            .build();

    /** A frame that cannot be used, and why. */
    public static final class MalformedDatagramException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedDatagramException(String why) {
            super(why, null, false, false);
        }
    }

    /** What a frame holds. */
    public record Frame(int channel, List<?> values) {
        /** The bytes in it, where its lane has such. */
        public byte[] bytes() throws MalformedDatagramException {
            if (values.get(3) instanceof byte[] bytes) {
                return bytes;
            }
            throw new MalformedDatagramException("unreadable frames");
        }

        /** The peers' message in it. */
        public PeerMessage message() throws MalformedDatagramException {
            try {
                List<?> list = (List<?>) values.get(3);
                int kind = ((Number) list.get(0)).intValue();
                if (kind < 0 || kind >= PeerMessage.Kind.values().length) {
                    throw new MalformedDatagramException("unknown kinds");
                }
                List<PeerUpdate> words = new ArrayList<>();
                for (Object word : (List<?>) list.get(8)) {
                    List<?> parts = (List<?>) word;
                    int standing = ((Number) parts.get(1)).intValue();
                    if (standing >= 0 && standing < PeerState.values().length) {
                        words.add(new PeerUpdate(
                                card(parts.get(0)), PeerState.values()[standing], decimal(parts.get(2)), (String)
                                        parts.get(3)));
                    }
                }
                return new PeerMessage(
                        PeerMessage.Kind.values()[kind],
                        card(list.get(1)),
                        PeerState.values()[((Number) list.get(2)).intValue()],
                        decimal(list.get(3)),
                        (String) list.get(4),
                        ((Number) list.get(5)).longValue(),
                        ((Number) list.get(6)).longValue(),
                        list.get(7) == null ? null : card(list.get(7)),
                        words);
            } catch (ClassCastException | IndexOutOfBoundsException | NullPointerException e) {
                throw new MalformedDatagramException("unreadable frames");
            }
        }
    }

    private PeerMessageCodec() {}

    public static boolean isAddress(String text) {
        return text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")
                && Integer.parseInt(text.substring(text.indexOf(':') + 1)) < 65_536;
    }

    public static byte[] encode(String fleet, PeerMessage message) {
        return frame(fleet, GOSSIP_CHANNEL, out -> {
            out.writeStartArray();
            out.writeNumber(message.kind().ordinal());
            card(out, message.sender());
            out.writeNumber(message.state().ordinal());
            out.writeNumber(message.incarnationAgeMs());
            out.writeString(message.recipient());
            out.writeNumber(message.nonce());
            out.writeNumber(message.digest());
            if (message.target() == null) {
                out.writeNull();
            } else {
                card(out, message.target());
            }
            out.writeStartArray();
            for (PeerUpdate word : message.updates()) {
                out.writeStartArray();
                card(out, word.descriptor());
                out.writeNumber(word.state().ordinal());
                out.writeNumber(word.incarnationAgeMs());
                out.writeString(word.accuser());
                out.writeEndArray();
            }
            out.writeEndArray();
            out.writeEndArray();
        });
    }

    /** A question of an operator, or a page of the reply to it. */
    public static byte[] encodeText(String fleet, int channel, String text) {
        return frame(fleet, channel, out -> out.writeString(text));
    }

    /** Bytes of another subsystem's lane. */
    public static byte[] encodeBytes(String fleet, int channel, byte[] bytes) {
        return frame(fleet, channel, out -> out.writeBinary(bytes));
    }

    private interface Writing {
        void to(JsonGenerator out) throws IOException;
    }

    private static byte[] frame(String fleet, int channel, Writing rest) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
            out.writeString(fleet);
            out.writeNumber(channel);
            rest.to(out);
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("bytes in memory", e);
        }
        byte[] body = bytes.toByteArray();
        return ByteBuffer.allocate(body.length + CRC)
                .put(body)
                .putInt(crc(body, body.length))
                .array();
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void card(JsonGenerator out, PeerDescriptor card) throws IOException {
        out.writeStartArray();
        out.writeString(card.name());
        out.writeString(card.address());
        out.writeString(card.zone());
        out.writeNumber(card.weight());
        out.writeString(card.programVersion());
        out.writeString(card.settingsVersion());
        out.writeNumber(card.incarnation().startMs());
        out.writeNumber(card.incarnation().nonce());
        out.writeNumber(card.refutations());
        out.writeEndArray();
    }

    private static PeerDescriptor card(Object value) {
        List<?> list = (List<?>) value;
        return new PeerDescriptor(
                (String) list.get(0),
                (String) list.get(1),
                (String) list.get(2),
                decimal(list.get(3)),
                (String) list.get(4),
                (String) list.get(5),
                new Incarnation(((Number) list.get(6)).longValue(), ((Number) list.get(7)).intValue()),
                ((Number) list.get(8)).intValue());
    }

    private static double decimal(Object value) {
        return ((Number) value).doubleValue();
    }

    /** Reads a frame of this fleet, whose bytes begin at 0. */
    public static Frame decode(byte[] bytes, int length, String fleet, int mostBytes)
            throws MalformedDatagramException {
        if (length > mostBytes) {
            throw new MalformedDatagramException("frames too large");
        }
        if (length <= CRC || ByteBuffer.wrap(bytes).getInt(length - CRC) != crc(bytes, length - CRC)) {
            throw new MalformedDatagramException("unreadable frames");
        }
        try (JsonParser in = CBOR.createParser(bytes, 0, length - CRC)) {
            if (in.nextToken() == null
                    || !(JsonTree.value(in) instanceof List<?> values)
                    || values.size() < 4
                    || !(values.get(0) instanceof Number)
                    || !(values.get(2) instanceof Number channel)) {
                throw new MalformedDatagramException("unreadable frames");
            }
            if (!fleet.equals(values.get(1))) {
                throw new MalformedDatagramException("frames of another fleet");
            }
            return new Frame(channel.intValue(), values);
        } catch (IOException | RuntimeException e) {
            throw new MalformedDatagramException("unreadable frames");
        }
    }
}
