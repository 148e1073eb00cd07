package spartrail.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.client.ClientQuery;

/**
 * The file of {@code --record} must stay byte for byte as version d4872eb wrote it, so that old records can be
 * replayed.
 */
class MultigetRecordFormTest {
    @TempDir
    private Path folder;

    @Test
    void eachKindOfLineIsEncodedToTheStoredBytes() throws Exception {
        Path file = folder.resolve("record");
        byte[] text = "text".getBytes(StandardCharsets.UTF_8);
        ClientQuery.QueriedPart first = new ClientQuery.QueriedPart(3, 0.25, 2);
        ClientQuery.QueriedPart second = new ClientQuery.QueriedPart(0, 0.75, 4.5);
        ClientQuery keyed = new ClientQuery("9b1f", "orders", "k\"1", 1500, false, List.of(first, second), text);
        ClientQuery keyless = new ClientQuery("9b20", "Ümlaut", null, 0.5, true, List.of(second), new byte[0]);
        ClientQuery empty = new ClientQuery("9b21", "orders", "", 1500, false, List.of(), text);
        try (MultigetRecord record = new MultigetRecord(file, 10_000)) {
            record.append(keyed, 1_782_324_000_000.125, 0, "");
            record.append(keyless, 1_782_324_000_001.0, 0, "");
            record.append(empty, 12.3456, 0, "");
            record.append(keyed, 1_782_324_000_002.0, 2_300_973_830_377L, "0|1");
            record.append(keyless, 1_782_324_000_003.0, -5, "17?");
        }
        try (InputStream stored = getClass().getResourceAsStream("/forms/record.jsonl")) {
            assertThat(Files.readString(file)).isEqualTo(new String(stored.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
