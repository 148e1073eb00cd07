package spartrail.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import spartrail.model.MalformedMessageException;

/** Decodes requests; what the protocol does not know is turned away with one plain sentence. */
final class ClientQueryDecoder {
    private static final Pattern USABLE_ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}([.][0-9]{1,18})?");
    private static final Pattern AFFINITY = Pattern.compile("[0-9a-fA-F]{16}");
    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString KIND = new HttpString("Req-Kind");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final HttpString RETRY = new HttpString("Req-Retry");
    /** Weights sum up to the whole, but for rounding. */
    private static final double ROUNDING = 1e-3;

    /** Danger: of two values under one name each reader of the body may take another one. */
    private final JsonFactory json = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final Set<String> opTypes;
    private final int shards;

    ClientQueryDecoder(Set<String> opTypes, int shards) {
        this.opTypes = opTypes;
        this.shards = shards;
    }

    ClientQuery read(String path, HeaderMap headers, byte[] body) throws MalformedMessageException {
        String id = only(headers, ID);
        if (id == null || !USABLE_ID.matcher(id).matches()) {
            throw new MalformedMessageException("Req-Id is missing or unusable");
        }
        String[] steps = path.split("/", 3);
        String kind = only(headers, KIND);
        if (kind == null || !opTypes.contains(kind) || steps.length < 2 || !steps[1].equals(kind)) {
            throw new MalformedMessageException("Req-Kind is unknown or not the path's");
        }
        double clientLeftMs = 1000 * deadline(only(headers, DEADLINE));
        try (JsonParser parser = json.createParser(body)) {
            return body(
                    parser,
                    id,
                    kind,
                    steps.length > 2 ? steps[2] : null,
                    clientLeftMs,
                    "1".equals(headers.getFirst(RETRY)));
        } catch (IOException e) {
            throw new MalformedMessageException("the body is no JSON of the expected form", e);
        }
    }

    /** The one value of this header; none where it is missing or there are several. */
    private static String only(HeaderMap headers, HttpString name) {
        return headers.count(name) == 1 ? headers.getFirst(name) : null;
    }

    private static double deadline(String text) throws MalformedMessageException {
        double seconds = text != null && SECONDS.matcher(text).matches() ? Double.parseDouble(text) : 0;
        if (seconds > 0) {
            return seconds;
        }
        throw new MalformedMessageException("Req-Deadline is missing or no time");
    }

    private ClientQuery body(JsonParser parser, String id, String kind, String key, double clientLeftMs, boolean retry)
            throws IOException, MalformedMessageException {
        List<ClientQuery.AskedPart> parts = null;
        String text = null;
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("the body is no JSON object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("segments") && value == JsonToken.START_ARRAY) {
                parts = parts(parser);
            } else if (name.equals("text")) {
                text = text(parser);
            } else {
                parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new MalformedMessageException("there is more behind the body's JSON object");
        }
        if (parts == null || parts.isEmpty() || text == null) {
            throw new MalformedMessageException("segments or text are missing");
        }
        if (Math.abs(parts.stream().mapToDouble(ClientQuery.AskedPart::weight).sum() - 1) > ROUNDING) {
            throw new MalformedMessageException("the boosts of the segments do not sum up to 1");
        }
        return new ClientQuery(id, kind, key, clientLeftMs, retry, parts, text.getBytes(StandardCharsets.UTF_8));
    }

    /** A text that is the same in UTF-8: half of a surrogate pair has no form there. */
    private static String text(JsonParser parser) throws IOException, MalformedMessageException {
        String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
        if (text == null || !StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            throw new MalformedMessageException("text is no text");
        }
        return text;
    }

    private static void need(boolean holds) throws MalformedMessageException {
        if (!holds) {
            throw new MalformedMessageException("a segment is not of the expected form");
        }
    }

    private List<ClientQuery.AskedPart> parts(JsonParser parser) throws IOException, MalformedMessageException {
        List<ClientQuery.AskedPart> parts = new ArrayList<>();
        BitSet seen = new BitSet(shards);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            int shard = -1;
            double weight = Double.NaN;
            double costMs = 0;
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("a segment is no JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "segment" -> {
                        // Danger: a number with a fraction would be cut to that of another shard.
                        need(value == JsonToken.VALUE_NUMBER_INT);
                        shard = parser.getIntValue();
                    }
                    case "boost" -> weight = parser.getDoubleValue();
                    case "work" -> costMs = parser.getDoubleValue() / 1000;
                    case "affinity" -> need(value == JsonToken.VALUE_STRING
                            && AFFINITY.matcher(parser.getText()).matches());
                    default -> parser.skipChildren();
                }
            }
            if (shard < 0 || shard >= shards || seen.get(shard)) {
                throw new MalformedMessageException("a segment does not exist or is there twice");
            }
            if (!(weight >= 0 && weight <= 1 + ROUNDING) || !(costMs >= 0 && Double.isFinite(costMs))) {
                throw new MalformedMessageException("a segment's boost or work is out of range");
            }
            seen.set(shard);
            parts.add(new ClientQuery.AskedPart(shard, weight, costMs));
        }
        return parts;
    }
}
