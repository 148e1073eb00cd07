package spartrail.lab.trace;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Forms;

/** Reads a trace file that version d4872eb wrote, and checks that the present version writes the same bytes. */
class TraceFormTest {
    @TempDir
    private Path folder;

    private static List<TraceLine> readLines(Path file) throws Exception {
        List<TraceLine> lines = new ArrayList<>();
        try (TraceFile.Reader reader = new TraceFile.Reader(file)) {
            for (TraceLine line = reader.readNext(); line != null; line = reader.readNext()) {
                lines.add(line);
            }
        }
        return lines;
    }

    /** Decompresses the records: the compressed bytes may differ between versions of the compression library. */
    private static byte[] unpack(byte[] bytes) throws Exception {
        byte[] packed = Arrays.copyOfRange(bytes, TraceFile.MAGIC.length, bytes.length);
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            return in.readAllBytes();
        }
    }

    @Test
    void traceOfEarlierVersionIsRead() throws Exception {
        Path file = Files.write(folder.resolve("trace"), Forms.bytes("trace"));
        StringBuilder text = new StringBuilder();
        for (TraceLine line : readLines(file)) {
            text.append(String.format(
                    Locale.ROOT,
                    "%s %s '%s' %s %s %s %d %s%n",
                    line.atMs(),
                    line.opType(),
                    line.key(),
                    Arrays.toString(line.shards()),
                    Arrays.toString(line.weights()),
                    line.workMs(),
                    line.textBytes(),
                    line.clientMs()));
        }
        assertThat(text.toString()).isEqualTo(Forms.text("trace.txt"));
    }

    @Test
    void traceOfEarlierVersionIsWrittenWithTheSameBytes() throws Exception {
        byte[] earlier = Forms.bytes("trace");
        Path rewritten = folder.resolve("again");
        try (TraceFile.Writer writer = new TraceFile.Writer(rewritten)) {
            for (TraceLine line : readLines(Files.write(folder.resolve("trace"), earlier))) {
                writer.write(line);
            }
            writer.finish();
        }
        byte[] written = Files.readAllBytes(rewritten);
        assertThat(Arrays.copyOf(written, TraceFile.MAGIC.length))
                .isEqualTo(Arrays.copyOf(earlier, TraceFile.MAGIC.length))
                .isEqualTo("SPTRACE1".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        assertThat(unpack(written)).isEqualTo(unpack(earlier));
    }
}
