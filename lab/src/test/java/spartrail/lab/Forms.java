package spartrail.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Files that version d4872eb wrote; {@code forms/README.md} says how each was made. */
public final class Forms {
    private Forms() {}

    /** The bytes of the file of this name. */
    public static byte[] bytes(String name) throws IOException {
        try (InputStream kept = Forms.class.getResourceAsStream("/forms/" + name)) {
            return kept.readAllBytes();
        }
    }

    /** The text of the file of this name. */
    public static String text(String name) throws IOException {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }
}
