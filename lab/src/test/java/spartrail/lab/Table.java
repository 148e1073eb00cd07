package spartrail.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares the output of a test with the expected table that the repository holds under the same name. */
public final class Table {
    private Table() {}

    /** Fails unless {@code seen} equals the expected table; writes {@code seen} to {@code lab/target/seen}. */
    public static void same(String name, String seen) throws IOException {
        try (InputStream resource = Table.class.getResourceAsStream("/expected/" + name + ".txt")) {
            String expected = resource == null
                    ? "there is no " + name + ".txt"
                    : new String(resource.readAllBytes(), StandardCharsets.UTF_8);
            Path folder = Files.createDirectories(Path.of("lab/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), seen.strip() + "\n");
            assertThat(seen.strip()).as(name).isEqualTo(expected.strip());
        }
    }
}
