package spartrail.endpoint;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import spartrail.json.JsonTree;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/** A version of the list of servers, or the lines that changed. */
public record EndpointList(long version, boolean all, List<Endpoint> lines) {
    /** A server and its address as this node reaches it; the time of its start is a Unix time, 0 if long ago. */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Server.State state,
            double rating,
            long bootMs) {
        /** The same server in another state. */
        public Endpoint with(Server.State other) {
            return new Endpoint(id, address, zone, kind, cell, other, rating, bootMs);
        }
    }

    /** The lines as the module takes them. */
    public List<Server> servers(NodeClock clock) {
        List<Server> servers = new ArrayList<>(lines.size());
        for (Endpoint line : lines) {
            Server server = new Server(line.id());
            server.zone = line.zone();
            server.kind = line.kind();
            server.cell = line.cell();
            server.state = line.state();
            server.weight = line.rating();
            server.startedAtMs = line.bootMs() > 0 ? clock.toNodeTimeMs(line.bootMs()) : -1;
            servers.add(server);
        }
        return servers;
    }

    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost");
    private static final JsonFactory JSON = new JsonFactory();

    /** Decodes a body in discovery's form; an IllegalArgumentException or IOException where it is none. */
    public static EndpointList decode(byte[] body) throws IOException {
        try (JsonParser parser = JSON.createParser(body)) {
            if (parser.nextToken() == null || !(JsonTree.value(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a list of servers is a JSON object");
            }
            return of(tree);
        }
    }

    public static EndpointList of(Map<?, ?> tree) {
        if (!(tree.get("rev") instanceof Number version) || !(tree.get("targets") instanceof List<?> targets)) {
            throw new IllegalArgumentException("a list of servers has 'rev' and 'targets'");
        }
        List<Endpoint> lines = new ArrayList<>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> line)
                    || !(line.get("uid") instanceof String id)
                    || !(line.get("pod_group") instanceof Number cell)) {
                throw new IllegalArgumentException("a line of the list has 'uid' and 'pod_group'");
            }
            Server.State state =
                    switch (String.valueOf(line.get("state"))) {
                        case "SERVING" -> Server.State.LIVE;
                        case "DRAINING" -> Server.State.DRAINING;
                        default -> Server.State.GONE;
                    };
            InetSocketAddress address = line.get("endpoint") instanceof String endpoint ? address(endpoint) : null;
            if (address == null && state != Server.State.GONE) {
                throw new IllegalArgumentException("a server of the list has an 'endpoint'");
            }
            lines.add(new Endpoint(
                    id,
                    address,
                    String.valueOf(line.get("az")),
                    String.valueOf(line.get("model")),
                    cell.intValue(),
                    state,
                    line.get("capacity_hint") instanceof Number hint ? hint.doubleValue() : 1,
                    line.get("boot_ms") instanceof Number boot ? boot.longValue() : 0));
        }
        return new EndpointList(version.longValue(), !Boolean.FALSE.equals(tree.get("all")), lines);
    }

    /** An address in the form host:port, without a look-up of names. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (HOST.matcher(host).matches() && port >= 0 && port < 65_536) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new IllegalArgumentException("no address of the form host:port: " + text);
    }
}
