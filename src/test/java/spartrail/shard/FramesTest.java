package spartrail.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FramesTest {
    private static byte[] frame(char letter, String rest) {
        return Frames.frame(letter, rest.getBytes(StandardCharsets.UTF_8)).array();
    }

    private static String text(Frames.Answer answer) {
        return answer.id() + " " + answer.end() + " " + new String(answer.value(), StandardCharsets.UTF_8);
    }

    @Test
    void aCallIsALineAndTheTextForEachPart() {
        byte[] text = "c41é".getBytes(StandardCharsets.UTF_8);
        PartRequest first = new PartRequest(null, "9b.3", 3, text, 240.9);
        PartRequest second = new PartRequest(null, "9b.4", 4, text, -7);
        ByteBuffer call = Frames.call(List.of(first, second), 0);
        byte[] rest = "9b.3 3 d=240 5\nc41é9b.4 4 d=1 5\nc41é".getBytes(StandardCharsets.UTF_8);
        assertThat(call.getInt()).isEqualTo(1 + rest.length);
        assertThat(call.get()).isEqualTo((byte) 'R');
        assertThat(call.slice()).isEqualTo(ByteBuffer.wrap(rest));
    }

    @Test
    void answersAreReadWhereverTheirBytesAreCut() throws Exception {
        byte[] one = frame('Y', "9b.3 OK 1840277719 inflight=7,util=0.61\na\nb");
        byte[] two = frame('Y', "9b.4 REJECTED 0 -\n");
        byte[] probe = frame('G', "OK");
        byte[] all = ByteBuffer.allocate(one.length + probe.length + two.length).put(one).put(probe).put(two).array();
        for (int cut = 0; cut <= all.length; cut++) {
            Frames.Reader reader = new Frames.Reader();
            List<String> read = new ArrayList<>();
            for (ByteBuffer half : List.of(ByteBuffer.wrap(all, 0, cut), ByteBuffer.wrap(all, cut, all.length - cut))) {
                reader.take(half);
                for (Frames.Answer answer = reader.next(); answer != null; answer = reader.next()) {
                    read.add(text(answer));
                }
            }
            assertThat(read).as("cut at %d", cut).containsExactly("9b.3 OK a\nb", "9b.4 REJECTED ");
        }
    }

    @Test
    void whatTheProtocolDoesNotKnowIsGarbled() {
        List<byte[]> frames = List.of(frame('Q', ""), frame('N', "no such\u0007 frame"), frame('Y', "9b.3 OK"),
                frame('Y', "9b.3 PERHAPS 0 -\nx"), new byte[] {0, 0, 0, 0}, new byte[] {1, 0, 0, 0}, new byte[] {-1, 0, 0, 0});
        StringBuilder told = new StringBuilder();
        for (byte[] frame : frames) {
            Frames.Reader reader = new Frames.Reader();
            reader.take(ByteBuffer.wrap(frame));
            assertThatThrownBy(reader::next).isInstanceOf(Frames.Garbled.class)
                    .satisfies(e -> told.append(e.getMessage()).append('\n'));
        }
        assertThat(told.toString()).isEqualTo("""
                a frame of letter 81
                N: no such? frame
                an answer without its line
                an answer of an unknown end
                a frame of length 0
                a frame of length 16777216
                a frame of length -16777216
                """);
    }
}
