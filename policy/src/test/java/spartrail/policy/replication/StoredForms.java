package spartrail.policy.replication;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads forms that an earlier version wrote: each line holds a name and a text or hexadecimal bytes. A line that starts
 * with {@code #} is a comment.
 */
final class StoredForms {
    private static final HexFormat HEX = HexFormat.of();

    private StoredForms() {}

    /** The forms of a resource by name, in the order of the file. */
    static Map<String, String> read(String resource) throws IOException {
        Map<String, String> forms = new LinkedHashMap<>();
        try (InputStream in = StoredForms.class.getResourceAsStream("/forms/" + resource)) {
            if (in == null) {
                return forms;
            }
            new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().forEach(line -> {
                if (!line.isBlank() && !line.startsWith("#")) {
                    int separator = line.indexOf(": ");
                    forms.put(line.substring(0, separator), line.substring(separator + 2));
                }
            });
        }
        return forms;
    }

    /** Writes the forms of this version to a folder under {@code target}, to inspect differences. */
    static void writeActual(String resource, Map<String, String> actual) throws IOException {
        StringBuilder text = new StringBuilder();
        actual.forEach(
                (name, form) -> text.append(name).append(": ").append(form).append('\n'));
        Path folder = Files.createDirectories(Path.of("policy/target/forms"));
        Files.writeString(folder.resolve(resource), text);
    }

    static String toHex(byte[] bytes) {
        return HEX.formatHex(bytes);
    }

    static byte[] fromHex(String hex) {
        return HEX.parseHex(hex);
    }
}
