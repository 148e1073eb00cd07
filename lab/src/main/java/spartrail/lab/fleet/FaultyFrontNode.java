package spartrail.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spartrail.lab.file.Document;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;

/**
 * An emulated front node that breaks one rule on purpose, to show that the rule checker detects the breach. It
 * sends each part to the first server that holds its shard, whatever state discovery reports, and merges the answers.
 */
public final class FaultyFrontNode implements AutoCloseable {
    /** The rule that it breaks; NOTHING keeps all rules as long as no server drains. */
    public enum Fault {
        NOTHING,
        ANSWERS_TWICE,
        NEVER_ANSWERS,
        REPEATS,
        PUSHES_BACK_WHAT_RAN,
        SENDS_TO_DRAINED,
        FLOODS_COLD,
        CALLS_PART_WHOLE,
        UNDER_LEAST_SHARE,
        COPIES,
        CHANGES_VALUES
    }

    /** Extra sends of each part under {@link Fault#COPIES}. */
    private static final int COPIES = 5;

    private final Fleet fleet;
    private final SocketLoop loop;
    private final HttpStub http;
    private final Fault fault;
    private final Map<String, ServerConnection> connections = new HashMap<>();
    private final Map<String, OpenQuery> open = new HashMap<>();

    /** A multiget that is not answered yet. */
    private static final class OpenQuery {
        private HttpStub.Request request;
        private int parts;
        /** Number of copies of a part that servers have rejected, by shard. */
        private final Map<Integer, Integer> rejections = new HashMap<>();

        private final Map<Integer, String> values = new TreeMap<>();
    }

    private final class ServerConnection extends TcpConnection {
        private byte[] bytes = new byte[0];

        ServerConnection() {
            super(FaultyFrontNode.this.loop);
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            byte[] more = new byte[bytes.length + in.remaining()];
            System.arraycopy(bytes, 0, more, 0, bytes.length);
            in.get(more, bytes.length, in.remaining());
            bytes = more;
            while (bytes.length >= 4
                    && bytes.length >= 4 + ByteBuffer.wrap(bytes).getInt()) {
                int length = ByteBuffer.wrap(bytes).getInt();
                String text = new String(bytes, 5, length - 1, StandardCharsets.UTF_8);
                bytes = java.util.Arrays.copyOfRange(bytes, 4 + length, bytes.length);
                String[] lines = text.split("\n", 2);
                String[] words = lines[0].split(" ");
                handlePartAnswer(words[0], words[1].equals("OK") ? lines[1] : null);
            }
        }

        @Override
        protected void onClosed(String reason) {
            connections.values().remove(this);
        }
    }

    public FaultyFrontNode(Fleet fleet, Fault fault) throws IOException {
        this.fleet = fleet;
        this.fault = fault;
        this.loop = new SocketLoop("spartrail-crooked");
        this.http = new HttpStub(loop, new InetSocketAddress("127.0.0.1", 0), this::handleRequest);
        // It requests the host list as every front node does, and ignores the answer.
        TcpConnection discovery = new TcpConnection(loop) {
            @Override
            protected void onBytes(ByteBuffer in) {
                in.position(in.limit());
            }

            @Override
            protected void onClosed(String reason) {
                // The host list is not used, so a lost connection changes nothing.
            }
        };
        String[] address = fleet.discoveryAddress(0).split(":");
        loop.call(() -> {
            try {
                discovery.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
                discovery.write(ByteBuffer.wrap(("GET /discovery/hosts HTTP/1.1\r\nHost: r\r\n\r\n"
                                + "GET /discovery/hosts?since=1&timeout_ms=60000 HTTP/1.1\r\nHost: r\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII)));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + http.port();
    }

    private void handleRequest(HttpStub.Request request) {
        if (request.path.equals("/up")) {
            request.respond(200, "", new byte[0]);
            return;
        }
        try {
            JsonNode tree = Document.JSON.readTree(request.body);
            String id = request.headers.get("req-id");
            OpenQuery query = new OpenQuery();
            query.request = request;
            List<Integer> shards = new ArrayList<>();
            tree.get("segments")
                    .forEach(segment -> shards.add(segment.get("segment").asInt()));
            if (fault == Fault.CALLS_PART_WHOLE || fault == Fault.UNDER_LEAST_SHARE) {
                shards.subList(1, shards.size()).clear();
            }
            query.parts = shards.size();
            open.put(id, query);
            byte[] text = tree.get("text").asText().getBytes(StandardCharsets.UTF_8);
            for (int shard : shards) {
                sendPart(id, shard, text);
                if (fault == Fault.REPEATS) {
                    sendPart(id, shard, text);
                }
                for (int i = 0; i < COPIES && fault == Fault.COPIES; i++) {
                    sendPart(id, shard, text);
                }
            }
        } catch (IOException e) {
            request.respond(400, "", new byte[0]);
        }
    }

    private void sendPart(String id, int shard, byte[] text) throws IOException {
        FleetPlan plan = fleet.plan();
        String server = plan.servers().stream()
                .filter(line -> {
                    int back = Math.floorMod(line.cell() - shard, plan.cells());
                    return back < plan.reach();
                })
                .findFirst()
                .orElseThrow()
                .id();
        ServerConnection connection = connections.get(server);
        if (connection == null) {
            connection = new ServerConnection();
            String[] address = fleet.serverAddress(0, server).split(":");
            connection.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
            connections.put(server, connection);
        }
        String line = id + "." + shard + " " + shard + " d=1000 " + text.length + "\n";
        byte[] head = line.getBytes(StandardCharsets.US_ASCII);
        connection.write(ServerFrameCodec.encode(
                'R',
                ByteBuffer.allocate(head.length + text.length)
                        .put(head)
                        .put(text)
                        .array()));
    }

    private void handlePartAnswer(String partId, String value) {
        int dot = partId.lastIndexOf('.');
        String id = partId.substring(0, dot);
        OpenQuery query = open.get(id);
        if (query == null) {
            return;
        }
        if (value != null) {
            query.values.put(Integer.parseInt(partId.substring(dot + 1)), fault == Fault.CHANGES_VALUES ? "0" : value);
        } else if (fault == Fault.COPIES) {
            // A busy server rejects some copies. Leaving the part out of the answer after one rejection would break
            // further rules besides the intended one.
            if (query.rejections.merge(Integer.parseInt(partId.substring(dot + 1)), 1, Integer::sum) > COPIES) {
                open.remove(id);
                query.request.respond(503, "Retry-After: 1\r\n", new byte[0]);
            }
            return;
        } else {
            query.parts--;
        }
        if (query.values.size() < query.parts) {
            return;
        }
        open.remove(id);
        if (fault == Fault.NEVER_ANSWERS) {
            return;
        }
        if (fault == Fault.PUSHES_BACK_WHAT_RAN) {
            query.request.respond(503, "Retry-After: 1\r\n", new byte[0]);
            return;
        }
        StringBuilder body = new StringBuilder("{\"all_in\":" + (fault != Fault.UNDER_LEAST_SHARE) + ",\"matches\":[");
        query.values.forEach((shard, text) -> body.append(body.charAt(body.length() - 1) == '[' ? "" : ",")
                .append("{\"segment\":")
                .append(shard)
                .append(",\"payload\":\"")
                .append(text)
                .append("\"}"));
        byte[] bytes = body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        if (fault == Fault.ANSWERS_TWICE) {
            query.request.respondTwice(bytes);
        } else {
            query.request.respond(200, "", bytes);
        }
    }

    @Override
    public void close() {
        http.close();
        loop.close();
    }
}
