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
 * The content of one datagram between nodes: a CBOR array (RFC 8949), followed by the CRC-32C of its bytes (RFC 3720).
 * The first three values of the array are the format version, the fleet's name and the channel. Each array may have
 * more values at its end than a reader knows, so that nodes of this version and of later versions can run in one fleet.
 *
 * <pre>
 *  frame      [version, fleet, channel, payload, ...] crc
 *  channel 0  a gossip message, see {@link PeerMessageCodec}
 *  channel 1  text, a request from an operator
 *  channel 2  text, a page of the response to it
 *  channel 3  bytes, policy replication, see spartrail.policy.replication
 * </pre>
 *
 * @param channel number of the subsystem that handles the payload
 * @param payload a string, a byte array, or the list of values of a CBOR array
 */
public record DatagramFrame(int channel, Object payload) {
    /** Format version that this version of the program writes. */
    public static final int VERSION = 1;
    /** Maximum size of a frame; it fits into one Ethernet packet without fragmentation. */
    public static final int MAX_BYTES = 1400;
    /** Channel of gossip messages. */
    public static final int GOSSIP_CHANNEL = 0;
    /** Channel of requests from operators. */
    public static final int ADMIN_REQUEST_CHANNEL = 1;
    /** Channel of responses to operators. */
    public static final int ADMIN_RESPONSE_CHANNEL = 2;

    private static final int CRC_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 512;
    /** Index of the payload in the array. */
    private static final int PAYLOAD_INDEX = 3;

    private static final CBORFactory CBOR = CBORFactory.builder()
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS)
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_DOUBLES)
            .build();

    /** Writes a payload. */
    interface PayloadWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /** Encodes a frame whose payload is a string. */
    public static byte[] encodeText(String fleet, int channel, String text) {
        return encode(fleet, channel, out -> out.writeString(text));
    }

    /** Encodes a frame whose payload is a byte array. */
    public static byte[] encodeBytes(String fleet, int channel, byte[] bytes) {
        return encode(fleet, channel, out -> out.writeBinary(bytes));
    }

    static byte[] encode(String fleet, int channel, PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
            out.writeString(fleet);
            out.writeNumber(channel);
            payload.write(out);
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode a datagram frame in memory", e);
        }
        byte[] body = bytes.toByteArray();
        return ByteBuffer.allocate(body.length + CRC_BYTES)
                .put(body)
                .putInt(computeCrc(body, body.length))
                .array();
    }

    private static int computeCrc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Decodes a frame from the first {@code length} bytes; rejects frames of other fleets. */
    public static DatagramFrame decode(byte[] bytes, int length, String fleet, int maxBytes)
            throws MalformedDatagramException {
        if (length > maxBytes) {
            throw new MalformedDatagramException(Problem.TOO_LARGE);
        }
        int bodyLength = length - CRC_BYTES;
        if (bodyLength <= 0 || ByteBuffer.wrap(bytes).getInt(bodyLength) != computeCrc(bytes, bodyLength)) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        CborArray values = CborArray.of(parse(bytes, bodyLength));
        if (values.size() <= PAYLOAD_INDEX) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        values.numberAt(0);
        int channel = values.numberAt(2).intValue();
        if (!fleet.equals(values.valueAt(1))) {
            throw new MalformedDatagramException(Problem.OTHER_FLEET);
        }
        return new DatagramFrame(channel, values.valueAt(PAYLOAD_INDEX));
    }

    private static Object parse(byte[] bytes, int length) throws MalformedDatagramException {
        try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
            return in.nextToken() == null ? null : JsonTree.readValue(in);
        } catch (IOException | RuntimeException e) {
            // On bytes that are not valid CBOR the parser also throws unchecked exceptions.
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
    }

    /** The payload as a byte array; the datagram is malformed if it is not one. */
    public byte[] payloadBytes() throws MalformedDatagramException {
        if (payload instanceof byte[] bytes) {
            return bytes;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }
}
