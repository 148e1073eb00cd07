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
 * A stand-in for a front node that breaks one rule on purpose, so that a checker can be seen to catch it. It sends each
 * part to the first server that holds its shard, whatever the roll says, and puts the answers together.
 */
public final class FaultyFrontNode implements AutoCloseable {
    /** What it does wrong; NOTHING keeps all rules as long as no server drains. */
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

    /** Further sends of each part, where these are planted. */
    private static final int COPIES = 5;

    private final Fleet fleet;
    private final SocketLoop loop;
    private final HttpStub stand;
    private final Fault fault;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Open> open = new HashMap<>();

    private static final class Open {
        private HttpStub.Request request;
        private int parts;
        /** Copies of a part that a server has turned away, by shard. */
        private final Map<Integer, Integer> turnedAway = new HashMap<>();

        private final Map<Integer, String> values = new TreeMap<>();
    }

    private final class Server extends TcpConnection {
        private byte[] bytes = new byte[0];

        Server() {
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
                part(words[0], words[1].equals("OK") ? lines[1] : null);
            }
        }

        @Override
        protected void onClosed(String why) {
            servers.values().remove(this);
        }
    }

    public FaultyFrontNode(Fleet fleet, Fault fault) throws IOException {
        this.fleet = fleet;
        this.fault = fault;
        this.loop = new SocketLoop("spartrail-crooked");
        this.stand = new HttpStub(loop, new InetSocketAddress("127.0.0.1", 0), this::asked);
        // It reads the roll, as all do; what it makes of it is another matter.
        TcpConnection roll = new TcpConnection(loop) {
            @Override
            protected void onBytes(ByteBuffer in) {
                in.position(in.limit());
            }

            @Override
            protected void onClosed(String why) {
                // Nothing hangs on it.
            }
        };
        String[] address = fleet.discoveryAddress(0).split(":");
        loop.call(() -> {
            try {
                roll.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
                roll.write(ByteBuffer.wrap(("GET /discovery/hosts HTTP/1.1\r\nHost: r\r\n\r\n"
                                + "GET /discovery/hosts?since=1&timeout_ms=60000 HTTP/1.1\r\nHost: r\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII)));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + stand.port();
    }

    private void asked(HttpStub.Request request) {
        if (request.path.equals("/up")) {
            request.answer(200, "", new byte[0]);
            return;
        }
        try {
            JsonNode tree = Document.JSON.readTree(request.body);
            String id = request.headers.get("req-id");
            Open asked = new Open();
            asked.request = request;
            List<Integer> shards = new ArrayList<>();
            tree.get("segments")
                    .forEach(segment -> shards.add(segment.get("segment").asInt()));
            if (fault == Fault.CALLS_PART_WHOLE || fault == Fault.UNDER_LEAST_SHARE) {
                shards.subList(1, shards.size()).clear();
            }
            asked.parts = shards.size();
            open.put(id, asked);
            byte[] text = tree.get("text").asText().getBytes(StandardCharsets.UTF_8);
            for (int shard : shards) {
                send(id, shard, text);
                if (fault == Fault.REPEATS) {
                    send(id, shard, text);
                }
                for (int i = 0; i < COPIES && fault == Fault.COPIES; i++) {
                    send(id, shard, text);
                }
            }
        } catch (IOException e) {
            request.answer(400, "", new byte[0]);
        }
    }

    private void send(String id, int shard, byte[] text) throws IOException {
        FleetPlan plan = fleet.plan();
        String server = plan.servers().stream()
                .filter(line -> {
                    int back = Math.floorMod(line.cell() - shard, plan.cells());
                    return back < plan.reach();
                })
                .findFirst()
                .orElseThrow()
                .id();
        Server link = servers.get(server);
        if (link == null) {
            link = new Server();
            String[] address = fleet.serverAddress(0, server).split(":");
            link.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
            servers.put(server, link);
        }
        String line = id + "." + shard + " " + shard + " d=1000 " + text.length + "\n";
        byte[] head = line.getBytes(StandardCharsets.US_ASCII);
        link.write(ServerFrameCodec.frame(
                'R',
                ByteBuffer.allocate(head.length + text.length)
                        .put(head)
                        .put(text)
                        .array()));
    }

    private void part(String partId, String value) {
        int dot = partId.lastIndexOf('.');
        String id = partId.substring(0, dot);
        Open asked = open.get(id);
        if (asked == null) {
            return;
        }
        if (value != null) {
            asked.values.put(Integer.parseInt(partId.substring(dot + 1)), fault == Fault.CHANGES_VALUES ? "0" : value);
        } else if (fault == Fault.COPIES) {
            // A busy server rejects some copies; a front node that then leaves the part out would break more rules than
            // the
            // one that is meant.
            if (asked.turnedAway.merge(Integer.parseInt(partId.substring(dot + 1)), 1, Integer::sum) > COPIES) {
                open.remove(id);
                asked.request.answer(503, "Retry-After: 1\r\n", new byte[0]);
            }
            return;
        } else {
            asked.parts--;
        }
        if (asked.values.size() < asked.parts) {
            return;
        }
        open.remove(id);
        if (fault == Fault.NEVER_ANSWERS) {
            return;
        }
        if (fault == Fault.PUSHES_BACK_WHAT_RAN) {
            asked.request.answer(503, "Retry-After: 1\r\n", new byte[0]);
            return;
        }
        StringBuilder body = new StringBuilder("{\"all_in\":" + (fault != Fault.UNDER_LEAST_SHARE) + ",\"matches\":[");
        asked.values.forEach((shard, text) -> body.append(body.charAt(body.length() - 1) == '[' ? "" : ",")
                .append("{\"segment\":")
                .append(shard)
                .append(",\"payload\":\"")
                .append(text)
                .append("\"}"));
        byte[] bytes = body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        if (fault == Fault.ANSWERS_TWICE) {
            asked.request.answerTwice(bytes);
        } else {
            asked.request.answer(200, "", bytes);
        }
    }

    @Override
    public void close() {
        stand.close();
        loop.close();
    }
}
