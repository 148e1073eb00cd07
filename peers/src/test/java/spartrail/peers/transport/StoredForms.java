package spartrail.peers.transport;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads test resources under {@code /forms}: output of earlier versions. Lines that begin with '#' are comments. */
final class StoredForms {
    private StoredForms() {}

    static List<String> readLines(String resource) throws IOException {
        try (InputStream in = StoredForms.class.getResourceAsStream("/forms/" + resource)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
        }
    }

    /** Reads lines of the form {@code NAME VALUE} and returns the values by name. */
    static Map<String, String> readNamedLines(String resource) throws IOException {
        Map<String, String> byName = new LinkedHashMap<>();
        for (String line : readLines(resource)) {
            int space = line.indexOf(' ');
            byName.put(line.substring(0, space), line.substring(space + 1));
        }
        return byName;
    }
}
