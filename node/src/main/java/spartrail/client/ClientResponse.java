package spartrail.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** The final answer to a client: a status, a time to come back after where that is advised, and a body. */
public record ClientResponse(int status, String retryAfter, byte[] body) {
    /** The value of a part that is in, as a server gave it. */
    public record Value(int shard, byte[] value) {}

    private static final JsonFactory JSON = new JsonFactory();

    public static ClientResponse success(boolean complete, List<Value> values) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(64 + 48 * values.size());
        try (JsonGenerator json = JSON.createGenerator(body)) {
            json.writeStartObject();
            json.writeBooleanField("all_in", complete);
            json.writeArrayFieldStart("matches");
            for (Value value : values) {
                json.writeStartObject();
                json.writeNumberField("segment", value.shard);
                json.writeStringField("payload", new String(value.value, StandardCharsets.UTF_8));
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return new ClientResponse(200, null, body.toByteArray());
    }

    /** Trying again is harmless; a comeback time of 0 is none. */
    public static ClientResponse rejected(double retryAfterMs) {
        return new ClientResponse(
                503,
                retryAfterMs > 0 ? String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) : null,
                textBody("pushed back"));
    }

    public static ClientResponse failure() {
        return new ClientResponse(500, null, textBody("failed"));
    }

    static ClientResponse malformed(int status, String problem) {
        return new ClientResponse(status, null, textBody(problem));
    }

    private static byte[] textBody(String text) {
        return (text + '\n').getBytes(StandardCharsets.UTF_8);
    }
}
