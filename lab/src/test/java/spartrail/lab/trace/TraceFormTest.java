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

/** A trace that version d4872eb wrote is read as before and written back with the same bytes. */
class TraceFormTest {
    @TempDir
    private Path folder;

    private static List<TraceLine> read(Path file) throws Exception {
        List<TraceLine> lines = new ArrayList<>();
        try (TraceFile.Reader reader = new TraceFile.Reader(file)) {
            for (TraceLine line = reader.next(); line != null; line = reader.next()) {
                lines.add(line);
            }
        }
        return lines;
    }

    /** The compressor's own bytes belong to the library; what it holds is ours. */
    private static byte[] unpacked(byte[] bytes) throws Exception {
        byte[] packed = Arrays.copyOfRange(bytes, TraceFile.MAGIC.length, bytes.length);
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            return in.readAllBytes();
        }
    }

    @Test
    void aKeptTraceIsReadAsBefore() throws Exception {
        Path file = Files.write(folder.resolve("trace"), Forms.bytes("trace"));
        StringBuilder seen = new StringBuilder();
        for (TraceLine line : read(file)) {
            seen.append(String.format(
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
        assertThat(seen.toString()).isEqualTo(Forms.text("trace.txt"));
    }

    @Test
    void aKeptTraceIsWrittenBackWithTheSameBytes() throws Exception {
        byte[] kept = Forms.bytes("trace");
        Path again = folder.resolve("again");
        try (TraceFile.Writer writer = new TraceFile.Writer(again)) {
            for (TraceLine line : read(Files.write(folder.resolve("trace"), kept))) {
                writer.write(line);
            }
            writer.finish();
        }
        byte[] written = Files.readAllBytes(again);
        assertThat(Arrays.copyOf(written, TraceFile.MAGIC.length))
                .isEqualTo(Arrays.copyOf(kept, TraceFile.MAGIC.length))
                .isEqualTo("SPTRACE1".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        assertThat(unpacked(written)).isEqualTo(unpacked(kept));
    }
}
