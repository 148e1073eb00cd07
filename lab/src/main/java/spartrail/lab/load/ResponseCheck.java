package spartrail.lab.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import spartrail.lab.plan.Arrival;

/** Parses answers as a client does and compares their values with those that emulated servers return. */
public final class ResponseCheck {
    /** The body of an answer with status 200: whether it says that it is complete, and the values by shard. */
    public record Body(boolean whole, Map<Integer, String> values) {}

    private static final JsonFactory JSON = new JsonFactory();

    /** The result that an answer gives its attempt. */
    AttemptResult classify(ClientAttempt attempt, HttpResponse answer) {
        if (answer.status() == 429 || answer.status() == 503) {
            return AttemptResult.PUSHED_BACK;
        }
        if (answer.status() != 200) {
            return AttemptResult.FAILED;
        }
        Body body = read(answer.body());
        if (body == null || body.values().isEmpty()) {
            return AttemptResult.WRONG;
        }
        byte[] text = attempt.text().getBytes(StandardCharsets.UTF_8);
        int expectedValues = 0;
        for (int shard : attempt.arrival.shards()) {
            String value = body.values().get(shard);
            if (value != null) {
                expectedValues++;
                if (!value.equals(Arrival.value(attempt.id + '.' + shard, shard, text))) {
                    return AttemptResult.WRONG;
                }
            }
        }
        if (expectedValues != body.values().size()) {
            return AttemptResult.WRONG;
        }
        return body.whole() ? AttemptResult.WHOLE : AttemptResult.PARTIAL;
    }

    /** Parses a body; returns null if it is malformed. */
    public static Body read(byte[] bytes) {
        try (JsonParser parser = JSON.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            Boolean whole = null;
            Map<Integer, String> values = new HashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                if (name.equals("all_in")) {
                    whole = parser.getBooleanValue();
                } else if (name.equals("matches") && value == JsonToken.START_ARRAY) {
                    while (parser.nextToken() == JsonToken.START_OBJECT) {
                        int shard = -1;
                        String payload = null;
                        while (parser.nextToken() != JsonToken.END_OBJECT) {
                            String field = parser.currentName();
                            parser.nextToken();
                            if (field.equals("segment")) {
                                shard = parser.getIntValue();
                            } else if (field.equals("payload")) {
                                payload = parser.getText();
                            }
                        }
                        if (shard < 0 || payload == null || values.put(shard, payload) != null) {
                            return null;
                        }
                    }
                } else {
                    parser.skipChildren();
                }
            }
            return whole == null ? null : new Body(whole, values);
        } catch (IOException e) {
            return null;
        }
    }
}
