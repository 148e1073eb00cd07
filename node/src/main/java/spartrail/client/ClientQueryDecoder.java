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

/** Decodes queries, and rejects those that violate the protocol with a message of one sentence. */
final class ClientQueryDecoder {
    private static final Pattern ID_FORMAT = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    private static final Pattern SECONDS_FORMAT = Pattern.compile("[0-9]{1,6}([.][0-9]{1,18})?");
    private static final Pattern AFFINITY_FORMAT = Pattern.compile("[0-9a-fA-F]{16}");
    static final HttpString ID_HEADER = new HttpString("Req-Id");
    private static final HttpString KIND_HEADER = new HttpString("Req-Kind");
    private static final HttpString DEADLINE_HEADER = new HttpString("Req-Deadline");
    private static final HttpString RETRY_HEADER = new HttpString("Req-Retry");
    /** The weights add up to 1 within this tolerance, which allows for rounding. */
    private static final double WEIGHT_TOLERANCE = 1e-3;

    private static final double MICROS_PER_MS = 1000;
    private static final double MS_PER_SECOND = 1000;

    /** Rejects duplicate names, as different readers of a body could use different values of one name. */
    private final JsonFactory jsonFactory = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final Set<String> opTypes;
    private final int shards;

    ClientQueryDecoder(Set<String> opTypes, int shards) {
        this.opTypes = opTypes;
        this.shards = shards;
    }

    ClientQuery decode(String path, HeaderMap headers, byte[] body) throws MalformedMessageException {
        String id = findSingleValue(headers, ID_HEADER);
        if (id == null || !ID_FORMAT.matcher(id).matches()) {
            throw new MalformedMessageException("Req-Id is missing or unusable");
        }
        String[] pathSegments = path.split("/", 3);
        String opType = findSingleValue(headers, KIND_HEADER);
        if (opType == null || !opTypes.contains(opType) || pathSegments.length < 2 || !pathSegments[1].equals(opType)) {
            throw new MalformedMessageException("Req-Kind is unknown or not the path's");
        }
        double clientTimeoutMs = MS_PER_SECOND * parseDeadlineSeconds(findSingleValue(headers, DEADLINE_HEADER));
        try (JsonParser parser = jsonFactory.createParser(body)) {
            return decodeBody(
                    parser,
                    id,
                    opType,
                    pathSegments.length > 2 ? pathSegments[2] : null,
                    clientTimeoutMs,
                    "1".equals(headers.getFirst(RETRY_HEADER)));
        } catch (IOException e) {
            throw new MalformedMessageException("the body is no JSON of the expected form", e);
        }
    }

    /** The value of this header; null if the header is missing or repeated. */
    private static String findSingleValue(HeaderMap headers, HttpString name) {
        return headers.count(name) == 1 ? headers.getFirst(name) : null;
    }

    private static double parseDeadlineSeconds(String text) throws MalformedMessageException {
        double seconds = text != null && SECONDS_FORMAT.matcher(text).matches() ? Double.parseDouble(text) : 0;
        if (seconds > 0) {
            return seconds;
        }
        throw new MalformedMessageException("Req-Deadline is missing or no time");
    }

    private ClientQuery decodeBody(
            JsonParser parser, String id, String opType, String key, double clientTimeoutMs, boolean retry)
            throws IOException, MalformedMessageException {
        List<ClientQuery.QueriedPart> parts = null;
        String text = null;
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("the body is no JSON object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("segments") && value == JsonToken.START_ARRAY) {
                parts = decodeParts(parser);
            } else if (name.equals("text")) {
                text = decodeText(parser);
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
        if (Math.abs(parts.stream().mapToDouble(ClientQuery.QueriedPart::weight).sum() - 1) > WEIGHT_TOLERANCE) {
            throw new MalformedMessageException("the boosts of the segments do not sum up to 1");
        }
        return new ClientQuery(id, opType, key, clientTimeoutMs, retry, parts, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Decodes the text, and rejects one that UTF-8 cannot encode, such as half of a surrogate pair. */
    private static String decodeText(JsonParser parser) throws IOException, MalformedMessageException {
        String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
        if (text == null || !StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            throw new MalformedMessageException("text is no text");
        }
        return text;
    }

    private static void requireSegmentForm(boolean holds) throws MalformedMessageException {
        if (!holds) {
            throw new MalformedMessageException("a segment is not of the expected form");
        }
    }

    private List<ClientQuery.QueriedPart> decodeParts(JsonParser parser) throws IOException, MalformedMessageException {
        List<ClientQuery.QueriedPart> parts = new ArrayList<>();
        BitSet seenShards = new BitSet(shards);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("a segment is no JSON object");
            }
            ClientQuery.QueriedPart part = decodePart(parser);
            if (part.shard() < 0 || part.shard() >= shards || seenShards.get(part.shard())) {
                throw new MalformedMessageException("a segment does not exist or is there twice");
            }
            boolean isWeightInRange = part.weight() >= 0 && part.weight() <= 1 + WEIGHT_TOLERANCE;
            boolean isCostInRange = part.costMs() >= 0 && Double.isFinite(part.costMs());
            if (!isWeightInRange || !isCostInRange) {
                throw new MalformedMessageException("a segment's boost or work is out of range");
            }
            seenShards.set(part.shard());
            parts.add(part);
        }
        return parts;
    }

    private static ClientQuery.QueriedPart decodePart(JsonParser parser) throws IOException, MalformedMessageException {
        int shard = -1;
        double weight = Double.NaN;
        double costMs = 0;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (name) {
                case "segment" -> {
                    // The parser would truncate a number with a fraction, which gives the number of another shard.
                    requireSegmentForm(value == JsonToken.VALUE_NUMBER_INT);
                    shard = parser.getIntValue();
                }
                case "boost" -> weight = parser.getDoubleValue();
                case "work" -> costMs = parser.getDoubleValue() / MICROS_PER_MS;
                case "affinity" -> requireSegmentForm(value == JsonToken.VALUE_STRING
                        && AFFINITY_FORMAT.matcher(parser.getText()).matches());
                default -> parser.skipChildren();
            }
        }
        return new ClientQuery.QueriedPart(shard, weight, costMs);
    }
}
