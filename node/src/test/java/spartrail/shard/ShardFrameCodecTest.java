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
    private static byte[] frame(char letter, String rest) {
        return ShardFrameCodec.encodeFrame(letter, rest.getBytes(StandardCharsets.UTF_8))
                .array();
    }

    private static String text(ShardFrameCodec.PartResponse answer) {
        return answer.id() + " " + answer.status() + " " + new String(answer.value(), StandardCharsets.UTF_8);
    }

    @Test
    void aBatchIsALineAndTheTextForEachPart() {
        byte[] text = "c41é".getBytes(StandardCharsets.UTF_8);
        Attempt send = new Attempt(null, null, 0, 0, 240);
        PartRequest first = new PartRequest(send, "9b.3", 3, text, 240.9, () -> true);
        PartRequest second = new PartRequest(send, "9b.4", 4, text, -7, () -> true);
        ByteBuffer call = ShardFrameCodec.encodeBatch(List.of(first, second), 0);
        byte[] rest = "9b.3 3 d=240 5\nc41é9b.4 4 d=1 5\nc41é".getBytes(StandardCharsets.UTF_8);
        assertThat(call.getInt()).isEqualTo(1 + rest.length);
        assertThat(call.get()).isEqualTo((byte) 'R');
        assertThat(call.slice()).isEqualTo(ByteBuffer.wrap(rest));
    }

    @Test
    void responsesAreDecodedWhereverTheirBytesAreCut() throws Exception {
        byte[] one = frame('Y', "9b.3 OK 1840277719 inflight=7,util=0.61\na\nb");
        byte[] two = frame('Y', "9b.4 REJECTED 0 -\n");
        byte[] odd = frame('Y', "9b.5 OK 7 load ??? \u0000 so=what\nc");
        byte[] all = ByteBuffer.allocate(one.length + odd.length + two.length)
                .put(one)
                .put(odd)
                .put(two)
                .array();
        for (int cut = 0; cut <= all.length; cut++) {
            ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
            List<String> read = new ArrayList<>();
            for (ByteBuffer half : List.of(ByteBuffer.wrap(all, 0, cut), ByteBuffer.wrap(all, cut, all.length - cut))) {
                decoder.append(half);
                for (ShardFrameCodec.PartResponse answer = decoder.nextResponse();
                        answer != null;
                        answer = decoder.nextResponse()) {
                    read.add(text(answer));
                }
            }
            assertThat(read).as("cut at %d", cut).containsExactly("9b.3 OK a\nb", "9b.5 OK c", "9b.4 REJECTED ");
        }
    }

    @Test
    void framesThatTheProtocolDoesNotKnowAreMalformed() {
        List<byte[]> frames = List.of(
                frame('Q', ""),
                frame('N', "no such\u0007 frame"),
                frame('Y', "9b.3 OK"),
                frame('Y', "9b.3 PERHAPS 0 -\nx"),
                frame('Y', "9b.3 OK none -\nx"),
                frame('G', "OK"),
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
                a frame of letter 81
                N: no such? frame
                an answer without its line
                an answer of an unknown end
                an answer without its line
                a frame of letter 71
                a value that is no text
                a frame of letter 121
                a frame of length 0
                a frame of length 16777216
                a frame of length -16777216
                """);
    }

    /**
     * No answer changed in one place may be taken for a good one with another value. (A length that
     * is a little shorter cuts the value, and nothing in the protocol tells.)
     */
    @Test
    void aResponseChangedAtAnyByteIsDecodedUnchangedOrNotAtAll() throws Exception {
        byte[] good = ShardFrameCodec.encodeFrame('Y', "1.0 OK 17 a=1\nvalue".getBytes(StandardCharsets.US_ASCII))
                .array();
        Random random = new Random(7);
        Set<String> taken = new TreeSet<>();
        for (int at = 4; at < 50 * (good.length - 5); at++) {
            byte[] bytes = good.clone();
            bytes[Math.max(4, at % (good.length - 5))] ^= (byte) (1 + random.nextInt(255));
            ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
            decoder.append(ByteBuffer.wrap(bytes));
            try {
                ShardFrameCodec.PartResponse answer = decoder.nextResponse();
                if (answer != null && answer.id().equals("1.0") && answer.status() == ShardFrameCodec.Status.OK) {
                    taken.add(new String(answer.value(), StandardCharsets.US_ASCII));
                }
            } catch (MalformedMessageException e) {
                // As it should be.
            }
        }
        assertThat(taken).containsExactly("value");
    }
}
