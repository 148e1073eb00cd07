package spartrail;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares the output of a test with the trace file of the same name in the test resources. */
public final class GoldenFile {
    private GoldenFile() {}

    /**
     * Fails if the actual text differs from the file. Writes the actual text to {@code core/target/seen} in either
     * case, so that a difference can be inspected.
     */
    public static void assertMatches(String name, String actual) throws IOException {
        try (InputStream resource = GoldenFile.class.getResourceAsStream("/traces/" + name + ".txt")) {
            String expected = resource == null
                    ? "/traces/" + name + ".txt does not exist"
                    : new String(resource.readAllBytes(), StandardCharsets.UTF_8);
            Path folder = Files.createDirectories(Path.of("core/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), actual.strip() + "\n");
            assertThat(actual.strip()).as(name).isEqualTo(expected.strip());
        }
    }
}
