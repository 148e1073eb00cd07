package spartrail.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * The final response to a client.
 *
 * @param status the HTTP status
 * @param retryAfter the value of the Retry-After header, in seconds; null for none
 */
public record ClientResponse(int status, String retryAfter, byte[] body) {
    /** The value of an answered part, unchanged from the server's response. */
    public record Value(int shard, byte[] value) {}

    private static final JsonFactory JSON = new JsonFactory();

    /** Encodes the values of the answered parts. */
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

    /**
     * The response to a rejected query. Parts of it may have run if it is idempotent or has an idempotency key. In any
     * case a retry by the client, after the Retry-After time if one is given, is harmless. No Retry-After if the time
     * is 0.
     */
    public static ClientResponse rejected(double retryAfterMs) {
        return new ClientResponse(
                503,
                retryAfterMs > 0 ? String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) : null,
                encodeTextBody("pushed back"));
    }

    /** The response to a readiness check. */
    static ClientResponse readiness(boolean isReady) {
        return new ClientResponse(isReady ? 200 : 503, null, encodeTextBody(isReady ? "ready" : "not ready"));
    }

    /** The response to a failed query, of which parts may have run. */
    public static ClientResponse failure() {
        return new ClientResponse(500, null, encodeTextBody("failed"));
    }

    /** The response to a malformed request; the body names the problem in one sentence. */
    static ClientResponse malformed(int status, String problem) {
        return new ClientResponse(status, null, encodeTextBody(problem));
    }

    private static byte[] encodeTextBody(String text) {
        return (text + '\n').getBytes(StandardCharsets.UTF_8);
    }
}
