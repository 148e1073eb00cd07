package spartrail.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Decodes requests; what the protocol does not know is turned away with one plain sentence. */
final class AskReader {
    /** A request that is none; its message goes to the client. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1;

        BadRequest(String what) {
            super(what);
        }
    }

    private static final Pattern USABLE_ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString KIND = new HttpString("Req-Kind");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final HttpString RETRY = new HttpString("Req-Retry");
    /** Weights sum up to the whole, but for rounding. */
    private static final double ROUNDING = 1e-3;

    private final JsonFactory json = new JsonFactory();
    private final Set<String> opTypes;
    private final int shards;

    AskReader(Set<String> opTypes, int shards) {
        this.opTypes = opTypes;
        this.shards = shards;
    }

    Ask read(String path, HeaderMap headers, byte[] body) throws BadRequest {
        String id = headers.getFirst(ID);
        if (id == null || !USABLE_ID.matcher(id).matches()) {
            throw new BadRequest("Req-Id is missing or unusable");
        }
        String[] steps = path.split("/", 3);
        String kind = headers.getFirst(KIND);
        if (kind == null || !opTypes.contains(kind) || steps.length < 2 || !steps[1].equals(kind)) {
            throw new BadRequest("Req-Kind is unknown or not the path's");
        }
        double clientLeftMs = 1000 * deadline(headers.getFirst(DEADLINE));
        try (JsonParser parser = json.createParser(body)) {
            return body(parser, id, kind, steps.length > 2 ? steps[2] : null, clientLeftMs,
                    "1".equals(headers.getFirst(RETRY)));
        } catch (IOException e) {
            throw new BadRequest("the body is no JSON of the expected form");
        }
    }

    private static double deadline(String text) throws BadRequest {
        try {
            double seconds = text == null ? Double.NaN : Double.parseDouble(text);
            if (seconds > 0 && seconds < 1e6) {
                return seconds;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new BadRequest("Req-Deadline is missing or no time");
    }

    private Ask body(JsonParser parser, String id, String kind, String key, double clientLeftMs, boolean retry)
            throws IOException, BadRequest {
        List<Ask.AskedPart> parts = null;
        String text = "";
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new BadRequest("the body is no JSON object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("segments") && value == JsonToken.START_ARRAY) {
                parts = parts(parser);
            } else if (name.equals("text") && value == JsonToken.VALUE_STRING) {
                text = parser.getText();
            } else {
                parser.skipChildren();
            }
        }
        if (parts == null || parts.isEmpty()) {
            throw new BadRequest("segments are missing");
        }
        if (Math.abs(parts.stream().mapToDouble(Ask.AskedPart::weight).sum() - 1) > ROUNDING) {
            throw new BadRequest("the boosts of the segments do not sum up to 1");
        }
        return new Ask(id, kind, key, clientLeftMs, retry, parts, text.getBytes(StandardCharsets.UTF_8));
    }

    private List<Ask.AskedPart> parts(JsonParser parser) throws IOException, BadRequest {
        List<Ask.AskedPart> parts = new ArrayList<>();
        BitSet seen = new BitSet(shards);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            int shard = -1;
            double weight = Double.NaN;
            double costMs = 0;
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw new BadRequest("a segment is no JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "segment" -> shard = parser.getIntValue();
                    case "boost" -> weight = parser.getDoubleValue();
                    case "work" -> costMs = parser.getDoubleValue() / 1000;
                    default -> parser.skipChildren();
                }
            }
            if (shard < 0 || shard >= shards || seen.get(shard)) {
                throw new BadRequest("a segment does not exist or is there twice");
            }
            if (!(weight >= 0 && weight <= 1 + ROUNDING) || !Double.isFinite(costMs)) {
                throw new BadRequest("a segment's boost or work is out of range");
            }
            seen.set(shard);
            parts.add(new Ask.AskedPart(shard, weight, costMs));
        }
        return parts;
    }
}
