package spartrail;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares what a test prints with the trace of its name in the repository. */
public final class GoldenFile {
    private GoldenFile() {}

    /** Fails where the text is not that of the file; what was seen is kept beside the build for a look at the difference. */
    public static void assertMatches(String name, String seen) throws IOException {
        try (InputStream kept = GoldenFile.class.getResourceAsStream("/traces/" + name + ".txt")) {
            String expected = kept == null
                    ? "there is no " + name + ".txt"
                    : new String(kept.readAllBytes(), StandardCharsets.UTF_8);
            // What was seen lies there for whoever has to look at a difference.
            Path folder = Files.createDirectories(Path.of("core/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), seen.strip() + "\n");
            assertThat(seen.strip()).as(name).isEqualTo(expected.strip());
        }
    }
}
