package spartrail.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import spartrail.client.ClientQuery;

/**
 * Encodes a multiget as a JSON line: its arrival, op type, key, shards, weights, mean cost, text size, client's
 * timeout, whether it is a retry, and, if there is a version of the settings, that version and the time of the
 * decision.
 */
final class RecordEncoder {
    private static final int USUAL_LINE_BYTES = 160;
    private static final double MICROS_PER_MS = 1000.0;

    private final JsonFactory jsonFactory = new JsonFactory();

    byte[] encodeLine(RecordEntry entry) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(USUAL_LINE_BYTES);
        try (JsonGenerator generator = jsonFactory.createGenerator(line)) {
            generator.writeStartObject();
            generator.writeNumberField("atMs", Math.round(entry.atMs() * MICROS_PER_MS) / MICROS_PER_MS);
            writeQuery(generator, entry.query());
            if (!entry.version().isEmpty()) {
                generator.writeStringField("policy", entry.version());
                generator.writeNumberField("ns", entry.decidedNs());
            }
            generator.writeEndObject();
        }
        line.write('\n');
        return line.toByteArray();
    }

    private static void writeQuery(JsonGenerator generator, ClientQuery query) throws IOException {
        generator.writeStringField("opType", query.opType());
        generator.writeStringField("key", query.key() == null ? "" : query.key());
        generator.writeArrayFieldStart("shards");
        for (ClientQuery.QueriedPart part : query.parts()) {
            generator.writeNumber(part.shard());
        }
        generator.writeEndArray();
        generator.writeArrayFieldStart("weights");
        for (ClientQuery.QueriedPart part : query.parts()) {
            generator.writeNumber(part.weight());
        }
        generator.writeEndArray();
        double meanCostMs = query.parts().stream()
                .mapToDouble(ClientQuery.QueriedPart::costMs)
                .average()
                .orElse(0);
        generator.writeNumberField("workMs", meanCostMs);
        generator.writeNumberField("textBytes", query.text().length);
        generator.writeNumberField("clientMs", query.clientTimeoutMs());
        generator.writeBooleanField("retry", query.retry());
    }
}
