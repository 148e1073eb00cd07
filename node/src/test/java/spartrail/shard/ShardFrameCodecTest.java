package spartrail.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt;
import spartrail.model.MalformedMessageException;

class ShardFrameCodecTest {
    private static byte[] encode(char type, String payload) {
        return ShardFrameCodec.encodeFrame(type, payload.getBytes(StandardCharsets.UTF_8))
                .array();
    }

    private static String format(ShardFrameCodec.PartResponse response) {
        return response.id() + " " + response.status() + " " + new String(response.value(), StandardCharsets.UTF_8);
    }

    @Test
    void aBatchIsEncodedAsALineAndTheTextOfEachPart() {
        byte[] text = "c41é".getBytes(StandardCharsets.UTF_8);
        Attempt attempt = new Attempt(null, null, 0, 0, 240);
        PartRequest first = new PartRequest(attempt, "9b.3", 3, text, 240.9, () -> true);
        PartRequest second = new PartRequest(attempt, "9b.4", 4, text, -7, () -> true);
        ByteBuffer frame = ShardFrameCodec.encodeBatch(List.of(first, second), 0);
        byte[] payload = "9b.3 3 d=240 5\nc41é9b.4 4 d=1 5\nc41é".getBytes(StandardCharsets.UTF_8);
        assertThat(frame.getInt()).isEqualTo(1 + payload.length);
        assertThat(frame.get()).isEqualTo((byte) 'R');
        assertThat(frame.slice()).isEqualTo(ByteBuffer.wrap(payload));
    }

    @Test
    void responsesAreDecodedWhereverTheirBytesAreCut() throws Exception {
        byte[] first = encode('Y', "9b.3 OK 1840277719 inflight=7,util=0.61\na\nb");
        byte[] last = encode('Y', "9b.4 REJECTED 0 -\n");
        byte[] oddLoadReport = encode('Y', "9b.5 OK 7 load ??? \u0000 so=what\nc");
        byte[] all = ByteBuffer.allocate(first.length + oddLoadReport.length + last.length)
                .put(first)
                .put(oddLoadReport)
                .put(last)
                .array();
        for (int cut = 0; cut <= all.length; cut++) {
            ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
            List<String> decoded = new ArrayList<>();
            for (ByteBuffer half : List.of(ByteBuffer.wrap(all, 0, cut), ByteBuffer.wrap(all, cut, all.length - cut))) {
                decoder.append(half);
                for (ShardFrameCodec.PartResponse response = decoder.nextResponse();
                        response != null;
                        response = decoder.nextResponse()) {
                    decoded.add(format(response));
                }
            }
            assertThat(decoded).as("cut at %d", cut).containsExactly("9b.3 OK a\nb", "9b.5 OK c", "9b.4 REJECTED ");
        }
    }

    @Test
    void framesOutsideTheProtocolAreMalformed() {
        List<byte[]> frames = List.of(
                encode('Q', ""),
                encode('N', "no such\u0007 frame"),
                encode('Y', "9b.3 OK"),
                encode('Y', "9b.3 PERHAPS 0 -\nx"),
                encode('Y', "9b.3 OK none -\nx"),
                encode('G', "OK"),
                ShardFrameCodec.encodeFrame('Y', new byte[] {'1', ' ', 'O', 'K', ' ', '0', ' ', '-', '\n', (byte) 0xc3})
                        .array(),
                new byte[] {0, 0, 0, 9, 'y'},
                new byte[] {0, 0, 0, 0, 'Y'},
                new byte[] {1, 0, 0, 0, 'Y'},
                new byte[] {-1, 0, 0, 0, 0});
        StringBuilder messages = new StringBuilder();
        for (byte[] frame : frames) {
            ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
            decoder.append(ByteBuffer.wrap(frame));
            assertThatThrownBy(decoder::nextResponse)
                    .isInstanceOf(MalformedMessageException.class)
                    .satisfies(e -> messages.append(e.getMessage()).append('\n'));
        }
        assertThat(messages.toString())
                .isEqualTo(
                        """
                frame type is 81, Y or N is expected
                N frame with the text: no such? frame
                response has no line with an id, a status and a score
                response status is unknown, OK, ERROR or REJECTED is expected
                response has no line with an id, a status and a score
                frame type is 71, Y or N is expected
                response value is not valid UTF-8
                frame type is 121, Y or N is expected
                frame length is 0, 1 to 65536 is expected
                frame length is 16777216, 1 to 65536 is expected
                frame length is -16777216, 1 to 65536 is expected
                """);
    }

    /**
     * A response with one corrupted byte must not be decoded as a good response with another value. The length field is
     * not corrupted here: a slightly smaller length cuts the value, which the protocol cannot detect.
     */
    @Test
    void aResponseWithOneCorruptedByteIsNotDecodedWithAnotherValue() throws Exception {
        byte[] good = ShardFrameCodec.encodeFrame('Y', "1.0 OK 17 a=1\nvalue".getBytes(StandardCharsets.US_ASCII))
                .array();
        Random random = new Random(7);
        Set<String> decodedValues = new TreeSet<>();
        for (int step = 4; step < 50 * (good.length - 5); step++) {
            byte[] bytes = good.clone();
            bytes[Math.max(4, step % (good.length - 5))] ^= (byte) (1 + random.nextInt(255));
            ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
            decoder.append(ByteBuffer.wrap(bytes));
            try {
                ShardFrameCodec.PartResponse response = decoder.nextResponse();
                if (response != null && response.id().equals("1.0") && response.status() == ShardFrameCodec.Status.OK) {
                    decodedValues.add(new String(response.value(), StandardCharsets.US_ASCII));
                }
            } catch (MalformedMessageException e) {
                // The corruption is detected, as intended.
            }
        }
        assertThat(decodedValues).containsExactly("value");
    }
}
