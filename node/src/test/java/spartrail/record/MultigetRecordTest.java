package spartrail.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.client.ClientQuery;

class MultigetRecordTest {
    @TempDir
    private Path folder;

    private static ClientQuery createQuery(String key) {
        return new ClientQuery(
                "9b1f",
                "orders",
                key,
                1500,
                false,
                List.of(new ClientQuery.QueriedPart(3, 0.25, 2), new ClientQuery.QueriedPart(0, 0.75, 4)),
                "text".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void eachMultigetIsWrittenAsOneLine() throws Exception {
        Path file = folder.resolve("record");
        try (MultigetRecord record = new MultigetRecord(file, 10_000)) {
            record.append(createQuery("k\"1"), 1_782_324_000_000.125, 0, "");
            record.append(createQuery(null), 1_782_324_000_001.0, 0, "");
        }
        assertThat(Files.readString(file))
                .isEqualTo(
                        """
                {"atMs":1.782324000000125E12,"opType":"orders","key":"k\\"1","shards":[3,0],"weights":[0.25,0.75],\
                "workMs":3.0,"textBytes":4,"clientMs":1500.0,"retry":false}
                {"atMs":1.782324000001E12,"opType":"orders","key":"","shards":[3,0],"weights":[0.25,0.75],\
                "workMs":3.0,"textBytes":4,"clientMs":1500.0,"retry":false}
                """);
    }

    @Test
    void theRecordEndsBelowItsSizeLimitWithACompleteLine() throws Exception {
        Path file = folder.resolve("record");
        try (MultigetRecord record = new MultigetRecord(file, 1000)) {
            for (int i = 0; i < 100; i++) {
                record.append(createQuery("k" + i), i, 0, "");
            }
        }
        String text = Files.readString(file);
        assertThat(text.length()).isBetween(700, 1000);
        assertThat(text).endsWith("}\n");
    }
}
