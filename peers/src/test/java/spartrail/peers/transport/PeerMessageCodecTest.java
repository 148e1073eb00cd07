package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import spartrail.peers.GossipTimings;
import spartrail.peers.Incarnation;
import spartrail.peers.OutgoingMessage;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.PeerUpdate;
import spartrail.peers.SwimMembership;

class PeerMessageCodecTest {
    private static final PeerDescriptor SENDER = new PeerDescriptor(
            "n1", "10.0.0.1:7400", "a", 1.5, "0.2", "v7", new Incarnation(1_700_000_000_123L, -5), 3);
    private static final PeerDescriptor TARGET =
            new PeerDescriptor("n2", "10.0.0.2:7400", "", 1, "", "", new Incarnation(1_700_000_000_999L, 77), 0);
    private static final PeerMessage MESSAGE = new PeerMessage(
            PeerMessage.Kind.PING_REQUEST,
            SENDER,
            PeerState.ALIVE,
            1234.5,
            "n2",
            Long.MIN_VALUE,
            -1,
            TARGET,
            List.of(
                    new PeerUpdate(TARGET, PeerState.SUSPECT, 17.25, "n3"),
                    new PeerUpdate(SENDER, PeerState.LEFT, 0, "")));

    private static PeerMessage decode(byte[] bytes, String fleet) throws MalformedDatagramException {
        return PeerMessageCodec.decode(DatagramFrame.decode(bytes, bytes.length, fleet, DatagramFrame.MAX_BYTES));
    }

    /**
     * Decodes the bytes and describes the result: whether the message equals MESSAGE, or why the bytes are rejected.
     */
    private static String describeDecoded(byte[] bytes, String fleet) {
        try {
            return decode(bytes, fleet).equals(MESSAGE) ? "equal" : "different";
        } catch (MalformedDatagramException e) {
            return e.getMessage();
        }
    }

    @Test
    void decodedMessageEqualsTheEncodedOne() {
        byte[] bytes = PeerMessageCodec.encode("recife", MESSAGE);
        assertThat(describeDecoded(bytes, "recife")).isEqualTo("equal");
        assertThat(describeDecoded(bytes, "jaboatao")).isEqualTo("frames of another fleet");
        assertThat(describeDecoded(new byte[DatagramFrame.MAX_BYTES + 1], "recife"))
                .isEqualTo("frames too large");
        assertThat(bytes.length).isLessThan(260);
    }

    /**
     * Runs a fleet whose names and texts have almost the maximum length; each of its messages must fit into one
     * datagram.
     */
    @Test
    void messagesWithLongestTextsFitIntoADatagram() {
        String longest = "x".repeat(60);
        List<SwimMembership> nodes = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            nodes.add(new SwimMembership(
                    new PeerDescriptor(
                            longest + 100 + i,
                            "210.210.210." + (100 + i) + ":65535",
                            longest,
                            1.1,
                            longest,
                            longest,
                            new Incarnation(1_700_000_000_000L + i, Integer.MAX_VALUE),
                            1_000_000),
                    List.of("210.210.210.100:65535"),
                    GossipTimings.DEFAULT,
                    new SplittableRandom(i),
                    0));
        }
        int maxBytes = 0;
        for (double ms = 0; ms < 8000; ms += 25) {
            for (int i = 0; i < nodes.size(); i++) {
                // Node 7 is cut off after 4 s, so that the messages include suspicions and indirect probes.
                nodes.get(i).advance(ms);
                for (OutgoingMessage outgoing : nodes.get(i).drainMessages()) {
                    int recipient = Integer.parseInt(outgoing.address().substring(12, 15)) - 100;
                    maxBytes = Math.max(maxBytes, PeerMessageCodec.encode(longest, outgoing.message()).length);
                    if (ms < 4000 || i != 7 && recipient != 7) {
                        nodes.get(recipient).onMessage(outgoing.message(), ms);
                    }
                }
            }
        }
        assertThat(maxBytes).isBetween(1000, DatagramFrame.MAX_BYTES);
    }

    @Test
    void truncatedOrCorruptedDatagramIsDropped() {
        byte[] bytes = PeerMessageCodec.encode("recife", MESSAGE);
        for (int i = 0; i < bytes.length; i++) {
            assertThat(describeDecoded(Arrays.copyOf(bytes, i), "recife"))
                    .as("cut at " + i)
                    .isEqualTo("unreadable frames");
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = bytes.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThat(describeDecoded(flipped, "recife"))
                        .as("bit " + bit + " of byte " + i)
                        .isEqualTo("unreadable frames");
            }
        }
    }

    private interface FrameWriter {
        void write(JsonGenerator out) throws Exception;
    }

    private static byte[] encodeFrame(FrameWriter writer) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new CBORFactory().createGenerator(bytes)) {
            writer.write(out);
        }
        CRC32C crc = new CRC32C();
        crc.update(bytes.toByteArray());
        return ByteBuffer.allocate(bytes.size() + 4)
                .put(bytes.toByteArray())
                .putInt((int) crc.getValue())
                .array();
    }

    private static void writeDescriptor(JsonGenerator out, boolean hasFurtherField) throws Exception {
        out.writeStartArray();
        for (String text : List.of("n1", "10.0.0.1:7400", "a")) {
            out.writeString(text);
        }
        out.writeNumber(1.5);
        out.writeString("0.2");
        out.writeString("v7");
        out.writeNumber(1_700_000_000_123L);
        out.writeNumber(-5);
        out.writeNumber(3);
        if (hasFurtherField) {
            out.writeString("a field of a later version");
        }
        out.writeEndArray();
    }

    /** Encodes a message as a later version may write it: with additional values at the end of each array. */
    private static byte[] encodeMessageOfLaterVersion(int kind) throws Exception {
        return encodeFrame(out -> {
            out.writeStartArray();
            out.writeNumber(2);
            out.writeString("recife");
            out.writeNumber(DatagramFrame.GOSSIP_CHANNEL);
            out.writeStartArray();
            out.writeNumber(kind);
            writeDescriptor(out, true);
            out.writeNumber(1);
            out.writeNumber(10);
            out.writeString("n2");
            out.writeNumber(9);
            out.writeNumber(8);
            out.writeNull();
            out.writeStartArray();
            out.writeEndArray();
            out.writeString("more");
            out.writeEndArray();
            out.writeBoolean(true);
            out.writeEndArray();
        });
    }

    @Test
    void additionalFieldsOfLaterVersionsAreIgnoredAndUnknownKindsDropped() throws Exception {
        byte[] ping = encodeMessageOfLaterVersion(0);
        PeerMessage message = decode(ping, "recife");
        assertThat(message.sender()).isEqualTo(SENDER);
        assertThat(message.nonce()).isEqualTo(9);
        assertThat(describeDecoded(encodeMessageOfLaterVersion(12), "recife")).isEqualTo("unknown kinds");
    }

    @Test
    void wellFormedCborThatIsNotAMessageIsDropped() throws Exception {
        StringBuilder outcomes = new StringBuilder();
        for (FrameWriter writer : List.<FrameWriter>of(
                out -> out.writeString("x"),
                out -> {
                    out.writeStartArray();
                    out.writeEndArray();
                },
                out -> {
                    out.writeStartArray();
                    out.writeNumber(1);
                    out.writeString("recife");
                    out.writeNumber(0);
                    out.writeString("no list");
                    out.writeEndArray();
                })) {
            outcomes.append(describeDecoded(encodeFrame(writer), "recife")).append(", ");
        }
        assertThat(outcomes.toString()).isEqualTo("unreadable frames, unreadable frames, unreadable frames, ");
    }
}
