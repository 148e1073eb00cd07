package spartrail.sim;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.io.Writer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.json.JsonTree;

/**
 * Runs coordinator instances for the simulator: reads a batch of events from each input line and writes the resulting
 * actions as one line.
 */
public final class SimHost {
    private final JsonFactory json = new JsonFactory();
    private final Writer out;
    private final PrintStream err;
    private final Map<Integer, SimNode> nodes = new HashMap<>();
    /** Server lists by number. The protocol sends a list once for all instances. */
    private final Map<Integer, List<?>> serverLists = new HashMap<>();

    /** Writes actions to {@code out} and error messages to {@code err}. */
    public SimHost(Writer out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Handles the input until its end. Returns the exit status: 0, or 2 after an invalid line. */
    public int run(Reader input) throws IOException {
        BufferedReader in = new BufferedReader(input, 1 << 16);
        int lineNumber = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            lineNumber++;
            Map<?, ?> batch;
            try {
                batch = parseBatch(line);
            } catch (JsonProcessingException e) {
                return reportInvalidLine(lineNumber, "invalid JSON: " + JsonTree.describe(e));
            } catch (IllegalArgumentException e) {
                return reportInvalidLine(lineNumber, "invalid batch: " + e.getMessage());
            }
            handleBatch(batch);
        }
        return 0;
    }

    private int reportInvalidLine(int lineNumber, String problem) {
        err.println("line " + lineNumber + ": " + problem + "; stopping");
        return 2;
    }

    private Map<?, ?> parseBatch(String line) throws IOException {
        Object value;
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() == null) {
                throw new IllegalArgumentException("expected one JSON value, found an empty line");
            }
            value = JsonTree.readValue(parser);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("expected one JSON value, found more text after the first");
            }
        }
        if (!(value instanceof Map<?, ?> batch)
                || !(batch.get("t") instanceof Number)
                || !(batch.get("groups") instanceof List<?> groups)) {
            throw new IllegalArgumentException("expected an object with a number 't' and an array 'groups'");
        }
        for (Object entry : groups) {
            if (!(entry instanceof Map<?, ?> group) || !(group.get("items") instanceof List<?> items)) {
                throw new IllegalArgumentException("expected each group to be an object with an array 'items'");
            }
            for (Object item : items) {
                if (!(item instanceof List<?> event) || event.isEmpty() || !(event.get(0) instanceof String)) {
                    throw new IllegalArgumentException("expected each event to be an array that begins with its name");
                }
                if (!"ROSTER".equals(event.get(0)) && !(group.get("i") instanceof Integer)) {
                    throw new IllegalArgumentException(
                            "expected a group with an integer 'i', found 'i' " + group.get("i"));
                }
            }
        }
        return batch;
    }

    private void handleBatch(Map<?, ?> batch) throws IOException {
        double nowMs = 1000 * ((Number) batch.get("t")).doubleValue();
        Map<Integer, SimNode> updatedNodes = new LinkedHashMap<>();
        for (Object entry : (List<?>) batch.get("groups")) {
            Map<?, ?> group = (Map<?, ?>) entry;
            for (Object item : (List<?>) group.get("items")) {
                List<?> event = (List<?>) item;
                if ("ROSTER".equals(event.get(0))) {
                    serverLists.put(((Number) event.get(1)).intValue(), (List<?>) event.get(2));
                } else {
                    Integer instance = (Integer) group.get("i");
                    SimNode node = nodes.computeIfAbsent(instance, number -> new SimNode(serverLists, err));
                    node.handleEvent(event, nowMs);
                    updatedNodes.put(instance, node);
                }
            }
        }
        JsonGenerator reply = json.createGenerator(out).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        reply.writeStartObject();
        reply.writeArrayFieldStart("groups");
        for (Map.Entry<Integer, SimNode> entry : updatedNodes.entrySet()) {
            List<List<Object>> actions = entry.getValue().takeActions(nowMs);
            if (!actions.isEmpty()) {
                reply.writeStartObject();
                reply.writeNumberField("i", entry.getKey());
                reply.writeArrayFieldStart("cmds");
                for (List<Object> action : actions) {
                    writeAction(reply, action);
                }
                reply.writeEndArray();
                reply.writeEndObject();
            }
        }
        reply.writeEndArray();
        reply.writeEndObject();
        reply.close();
        out.write('\n');
        out.flush();
    }

    private static void writeAction(JsonGenerator reply, List<Object> action) throws IOException {
        reply.writeStartArray();
        for (Object value : action) {
            if (value instanceof Double number) {
                reply.writeNumber(number);
            } else if (value instanceof Number number) {
                reply.writeNumber(number.longValue());
            } else if (value instanceof Boolean flag) {
                reply.writeBoolean(flag);
            } else {
                reply.writeString((String) value);
            }
        }
        reply.writeEndArray();
    }
}
