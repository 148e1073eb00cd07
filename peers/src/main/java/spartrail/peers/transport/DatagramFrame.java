package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import spartrail.json.JsonTree;
import spartrail.peers.transport.MalformedDatagramException.Problem;

/**
 * What one datagram among nodes holds: a CBOR array (RFC 8949) and the CRC-32C of its bytes (RFC 3720). The array's first
 * three values are the version of the form, the fleet's name and the channel. All arrays may have more values at their end
 * than a reader knows, so that nodes of this version and of later ones can mix.
 *
 * <pre>
 *  frame      [version, fleet, channel, payload, ...] crc
 *  channel 0  a message among nodes, see {@link PeerMessageCodec}
 *  channel 1  text, a request of an operator
 *  channel 2  text, a page of the response to it
 *  channel 3  bytes of policy, see spartrail.policy.replication
 * </pre>
 *
 * @param channel the subsystem that the payload is for
 * @param payload a text, bytes or the list of a CBOR array
 */
public record DatagramFrame(int channel, Object payload) {
    /** Version of the form that this version of the program writes. */
    public static final int VERSION = 1;
    /** Fits into one datagram on an Ethernet without fragmentation. */
    public static final int MAX_BYTES = 1400;
    /** Messages among nodes. */
    public static final int GOSSIP_CHANNEL = 0;
    /** Requests of operators. */
    public static final int ADMIN_REQUEST_CHANNEL = 1;
    /** Responses to operators. */
    public static final int ADMIN_RESPONSE_CHANNEL = 2;

    private static final int CRC_BYTES = 4;
    private static final int USUAL_BYTES = 512;
    /** Index of the payload, and so the fewest values that come before it. */
    private static final int PAYLOAD = 3;

    private static final CBORFactory CBOR = CBORFactory.builder()
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS)
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_DOUBLES)
            .build();

    /** Writes a payload. */
    interface PayloadWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /** A frame of a channel whose payload is a text. */
    public static byte[] encodeText(String fleet, int channel, String text) {
        return encode(fleet, channel, out -> out.writeString(text));
    }

    /** A frame of a channel whose payload is bytes. */
    public static byte[] encodeBytes(String fleet, int channel, byte[] bytes) {
        return encode(fleet, channel, out -> out.writeBinary(bytes));
    }

    static byte[] encode(String fleet, int channel, PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_BYTES);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
            out.writeString(fleet);
            out.writeNumber(channel);
            payload.write(out);
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        byte[] body = bytes.toByteArray();
        return ByteBuffer.allocate(body.length + CRC_BYTES)
                .put(body)
                .putInt(crc(body, body.length))
                .array();
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Reads a frame of this fleet, whose bytes begin at 0. */
    public static DatagramFrame decode(byte[] bytes, int length, String fleet, int maxBytes)
            throws MalformedDatagramException {
        if (length > maxBytes) {
            throw new MalformedDatagramException(Problem.TOO_LARGE);
        }
        int bodyLength = length - CRC_BYTES;
        if (bodyLength <= 0 || ByteBuffer.wrap(bytes).getInt(bodyLength) != crc(bytes, bodyLength)) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        CborArray values = CborArray.of(parse(bytes, bodyLength));
        if (values.size() <= PAYLOAD) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        values.number(0);
        int channel = values.number(2).intValue();
        if (!fleet.equals(values.value(1))) {
            throw new MalformedDatagramException(Problem.OTHER_FLEET);
        }
        return new DatagramFrame(channel, values.value(PAYLOAD));
    }

    private static Object parse(byte[] bytes, int length) throws MalformedDatagramException {
        try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
            return in.nextToken() == null ? null : JsonTree.readValue(in);
        } catch (IOException | RuntimeException e) {
            // The parser throws exceptions of any kind on bytes that are no CBOR.
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
    }

    /** The payload of a channel whose payload is bytes. */
    public byte[] payloadBytes() throws MalformedDatagramException {
        if (payload instanceof byte[] bytes) {
            return bytes;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }
}
