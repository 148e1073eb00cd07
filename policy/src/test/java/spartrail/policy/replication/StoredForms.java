package spartrail.policy.replication;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the forms that an earlier version wrote: a name and a text or hexadecimal bytes a line, comments after {@code #}. */
final class StoredForms {
    private static final HexFormat HEX = HexFormat.of();

    private StoredForms() {}

    /** The lines of a resource by their names, in their order. */
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

    /** Writes what this version makes under {@code target}, for whoever has to look at a difference. */
    static void writeSeen(String resource, Map<String, String> seen) throws IOException {
        StringBuilder text = new StringBuilder();
        seen.forEach((name, form) -> text.append(name).append(": ").append(form).append('\n'));
        Path folder = Files.createDirectories(Path.of("policy/target/forms"));
        Files.writeString(folder.resolve(resource), text);
    }

    static String hex(byte[] bytes) {
        return HEX.formatHex(bytes);
    }

    static byte[] bytes(String hex) {
        return HEX.parseHex(hex);
    }
}
