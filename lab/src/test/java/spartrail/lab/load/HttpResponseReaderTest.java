package spartrail.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;

class HttpResponseReaderTest {
    private static final String LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRetry-After: 0.5\r\n\r\nhello";
    private static final String CHUNKS =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

    private static String readAll(String text, int cut) {
        HttpResponseReader reader = new HttpResponseReader();
        StringBuilder seen = new StringBuilder();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        try {
            for (int[] part : new int[][] {{0, cut}, {cut, bytes.length}}) {
                reader.append(ByteBuffer.wrap(bytes, part[0], part[1] - part[0]));
                for (HttpResponse answer = reader.readNext(); answer != null; answer = reader.readNext()) {
                    seen.append(answer.status())
                            .append(' ')
                            .append(new String(answer.body(), StandardCharsets.ISO_8859_1))
                            .append(' ')
                            .append(answer.retryAfterMs())
                            .append(answer.keepsAlive() ? " lasts; " : " last; ");
                }
            }
            HttpResponse atClose = reader.readAtClose();
            return seen
                    + (atClose != null
                            ? "at its end: " + new String(atClose.body(), StandardCharsets.ISO_8859_1)
                            : reader.hasBegun() ? "and more" : "");
        } catch (HttpResponseReader.InvalidResponseException e) {
            return seen + e.kind.name() + ": " + e.getMessage();
        }
    }

    @Test
    void readsTheSameAnswersWhereverTheBytesAreSplit() {
        for (String text : new String[] {LENGTH, CHUNKS, LENGTH + CHUNKS, "HTTP/1.1 100 Continue\r\n\r\n" + LENGTH}) {
            String whole = readAll(text, text.length());
            assertThat(whole).contains("200 hello");
            for (int cut = 0; cut < text.length(); cut++) {
                assertThat(readAll(text, cut)).as("cut at " + cut).isEqualTo(whole);
            }
        }
    }

    @Test
    void classifiesInvalidAnswers() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (String text : new String[] {
            LENGTH,
            CHUNKS,
            LENGTH + LENGTH,
            LENGTH + "x",
            LENGTH.replace("5", "50"),
            LENGTH.replace("Content-Length: 5\r\n", ""),
            LENGTH.replace("5\r", "4294967296\r"),
            LENGTH.replace("5\r", "-2\r"),
            LENGTH.replace("5\r", "many\r"),
            CHUNKS.replace("3;", "zz"),
            CHUNKS.replace("3;", "fffff;"),
            "SSH-2.0-x\r\n\r\n",
            LENGTH.replace("200 OK", "204 none").replace("hello", ""),
            LENGTH.replace("Retry", "Connection: close\r\nRetry")
        }) {
            seen.append(text.replace("\r\n", "|"))
                    .append(" -> ")
                    .append(readAll(text, text.length()))
                    .append('\n');
        }
        Table.same("answers", seen.toString());
    }
}
