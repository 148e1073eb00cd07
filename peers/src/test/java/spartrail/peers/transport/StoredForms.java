package spartrail.peers.transport;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads test resources under {@code /forms}: text as an earlier version wrote it. Lines that begin with '#' are comments. */
final class StoredForms {
    private StoredForms() {}

    static List<String> lines(String resource) throws IOException {
        try (InputStream in = StoredForms.class.getResourceAsStream("/forms/" + resource)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
        }
    }

    /** Lines of the form {@code NAME VALUE}, by name. */
    static Map<String, String> named(String resource) throws IOException {
        Map<String, String> byName = new LinkedHashMap<>();
        for (String line : lines(resource)) {
            int space = line.indexOf(' ');
            byName.put(line.substring(0, space), line.substring(space + 1));
        }
        return byName;
    }
}
