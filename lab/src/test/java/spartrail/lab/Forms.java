package spartrail.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads files that version d4872eb wrote; {@code forms/README.md} says how each was made. */
public final class Forms {
    private Forms() {}

    /** The content of the file with this name, as bytes. */
    public static byte[] bytes(String name) throws IOException {
        try (InputStream resource = Forms.class.getResourceAsStream("/forms/" + name)) {
            return resource.readAllBytes();
        }
    }

    /** The content of the file with this name, as text. */
    public static String text(String name) throws IOException {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }
}
