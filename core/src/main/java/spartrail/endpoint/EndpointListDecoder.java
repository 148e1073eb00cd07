package spartrail.endpoint;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.json.JsonTree;
import spartrail.model.Server;

/** Decodes an endpoint list from discovery's JSON format. */
public final class EndpointListDecoder {
    private static final JsonFactory JSON = new JsonFactory();

    private EndpointListDecoder() {}

    /**
     * Decodes the body of a response.
     *
     * @throws IllegalArgumentException if the JSON is not an endpoint list
     * @throws IOException if the body is not JSON
     */
    public static EndpointList decode(byte[] body) throws IOException {
        try (JsonParser parser = JSON.createParser(body)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("server list: a JSON object is expected");
            }
            return decode(tree);
        }
    }

    /**
     * Decodes an endpoint list from a parsed JSON object.
     *
     * @throws IllegalArgumentException if the object is not an endpoint list
     */
    public static EndpointList decode(Map<?, ?> tree) {
        boolean hasVersion = tree.get("rev") instanceof Number;
        if (!hasVersion || !(tree.get("targets") instanceof List<?> targets)) {
            throw new IllegalArgumentException("server list lacks a number 'rev' or an array 'targets'");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object target : targets) {
            endpoints.add(decodeEndpoint(target));
        }
        long version = ((Number) tree.get("rev")).longValue();
        boolean isComplete = !Boolean.FALSE.equals(tree.get("all"));
        return new EndpointList(version, isComplete, endpoints);
    }

    private static Endpoint decodeEndpoint(Object target) {
        if (!(target instanceof Map<?, ?> fields)
                || !(fields.get("uid") instanceof String id)
                || !(fields.get("pod_group") instanceof Number cell)) {
            throw new IllegalArgumentException("entry of 'targets' lacks a text 'uid' or a number 'pod_group'");
        }
        Server.State state = decodeState(fields.get("state"));
        InetSocketAddress address = fields.get("endpoint") instanceof String text ? EndpointAddress.parse(text) : null;
        if (address == null && state != Server.State.GONE) {
            throw new IllegalArgumentException("entry of 'targets' lacks 'endpoint': server " + id);
        }
        double weight = fields.get("capacity_hint") instanceof Number hint ? hint.doubleValue() : 1;
        long bootMs = fields.get("boot_ms") instanceof Number boot ? boot.longValue() : 0;
        return new Endpoint(
                id,
                address,
                String.valueOf(fields.get("az")),
                String.valueOf(fields.get("model")),
                cell.intValue(),
                state,
                weight,
                bootMs);
    }

    private static Server.State decodeState(Object text) {
        return switch (String.valueOf(text)) {
            case "SERVING" -> Server.State.LIVE;
            case "DRAINING" -> Server.State.DRAINING;
            default -> Server.State.GONE;
        };
    }
}
