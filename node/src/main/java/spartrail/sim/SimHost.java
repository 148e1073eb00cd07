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

/** Hosts instances on the simulator's wire: for each line of events it writes a line of actions. */
public final class SimHost {
    private final JsonFactory json = new JsonFactory();
    private final Writer out;
    private final PrintStream err;
    private final Map<Integer, SimNode> nodes = new HashMap<>();
    /** Server lists by number, which the wire shares among instances. */
    private final Map<Integer, List<?>> rosters = new HashMap<>();

    /** Writes actions to one stream and failures to the other. */
    public SimHost(Writer out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Serves until the end of input and returns the exit status. */
    public int run(Reader input) throws IOException {
        BufferedReader in = new BufferedReader(input, 1 << 16);
        int number = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            number++;
            Map<?, ?> batch;
            try {
                batch = parseBatch(line);
            } catch (JsonProcessingException e) {
                return reject(number, "no JSON: " + JsonTree.describe(e));
            } catch (IllegalArgumentException e) {
                return reject(number, "no batch: " + e.getMessage());
            }
            handleBatch(batch);
        }
        return 0;
    }

    private int reject(int number, String reason) {
        err.println("line " + number + ": " + reason);
        return 2;
    }

    private Map<?, ?> parseBatch(String line) throws IOException {
        Object value;
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() == null) {
                throw new IllegalArgumentException("the line is empty");
            }
            value = JsonTree.readValue(parser);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one value on the line");
            }
        }
        if (!(value instanceof Map<?, ?> batch)
                || !(batch.get("t") instanceof Number)
                || !(batch.get("groups") instanceof List<?> groups)) {
            throw new IllegalArgumentException("an object with a number 't' and an array 'groups' is expected");
        }
        for (Object entry : groups) {
            if (!(entry instanceof Map<?, ?> group) || !(group.get("items") instanceof List<?> items)) {
                throw new IllegalArgumentException("a group is an object with an array 'items'");
            }
            for (Object item : items) {
                if (!(item instanceof List<?> event) || event.isEmpty() || !(event.get(0) instanceof String)) {
                    throw new IllegalArgumentException("an event is an array that begins with its name");
                }
                if (!"ROSTER".equals(event.get(0)) && !(group.get("i") instanceof Integer)) {
                    throw new IllegalArgumentException("a group names its instance by a number 'i'");
                }
            }
        }
        return batch;
    }

    private void handleBatch(Map<?, ?> batch) throws IOException {
        double nowMs = 1000 * ((Number) batch.get("t")).doubleValue();
        Map<Integer, SimNode> touched = new LinkedHashMap<>();
        for (Object entry : (List<?>) batch.get("groups")) {
            Map<?, ?> group = (Map<?, ?>) entry;
            for (Object item : (List<?>) group.get("items")) {
                List<?> event = (List<?>) item;
                if ("ROSTER".equals(event.get(0))) {
                    rosters.put(((Number) event.get(1)).intValue(), (List<?>) event.get(2));
                } else {
                    Integer i = (Integer) group.get("i");
                    SimNode node = nodes.computeIfAbsent(i, number -> new SimNode(rosters, err));
                    node.handleEvent(event, nowMs);
                    touched.put(i, node);
                }
            }
        }
        JsonGenerator reply = json.createGenerator(out).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        reply.writeStartObject();
        reply.writeArrayFieldStart("groups");
        for (Map.Entry<Integer, SimNode> entry : touched.entrySet()) {
            List<List<Object>> actions = entry.getValue().actions(nowMs);
            if (!actions.isEmpty()) {
                reply.writeStartObject();
                reply.writeNumberField("i", entry.getKey());
                reply.writeArrayFieldStart("cmds");
                for (List<Object> action : actions) {
                    write(reply, action);
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

    private static void write(JsonGenerator reply, List<Object> action) throws IOException {
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
