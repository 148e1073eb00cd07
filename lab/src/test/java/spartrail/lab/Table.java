package spartrail.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares what a test prints with the table of its name in the repository. */
public final class Table {
    private Table() {}

    /** Fails unless {@code seen} is the table of this name; what was seen is left in {@code lab/target/seen}. */
    public static void same(String name, String seen) throws IOException {
        try (InputStream kept = Table.class.getResourceAsStream("/expected/" + name + ".txt")) {
            String expected = kept == null
                    ? "there is no " + name + ".txt"
                    : new String(kept.readAllBytes(), StandardCharsets.UTF_8);
            Path folder = Files.createDirectories(Path.of("lab/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), seen.strip() + "\n");
            assertThat(seen.strip()).as(name).isEqualTo(expected.strip());
        }
    }
}
