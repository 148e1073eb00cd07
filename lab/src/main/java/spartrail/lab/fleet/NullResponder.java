package spartrail.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import spartrail.lab.file.Document;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.plan.Arrival;

/**
 * A stand-in for a front node that has no servers: it answers each request itself, with the values that servers would
 * make, after a delay that a script names; or in one of the ways in which answers go wrong.
 */
public final class NullResponder implements AutoCloseable {
    /** When the request of this number, taken at this time, is answered. */
    public interface Delay {
        double answeredMs(long number, double atMs);
    }

    /** How answers go wrong. */
    public enum Manner {
        RIGHT,
        TWICE,
        CUT,
        NO_LENGTH,
        HUGE,
        GARBLED,
        CLOSED,
        SILENT,
        WRONG_VALUE
    }

    private final SocketLoop loop = new SocketLoop("spartrail-responder", true);
    private final HttpStub stand;
    private final Delay delay;
    private volatile Manner manner = Manner.RIGHT;
    private long count;

    public NullResponder(int port, Delay delay) throws IOException {
        this.delay = delay;
        this.stand = new HttpStub(loop, new InetSocketAddress("127.0.0.1", port), this::asked);
    }

    public String address() {
        return "127.0.0.1:" + stand.port();
    }

    public SocketLoop loop() {
        return loop;
    }

    public void behave(Manner how) {
        manner = how;
    }

    public int connections() {
        int[] count = new int[1];
        loop.call(() -> count[0] = stand.connections());
        return count[0];
    }

    private void asked(HttpStub.Request request) {
        if (request.path.equals("/up")) {
            request.answer(200, "", new byte[0]);
            return;
        }
        double nowMs = loop.nowMs();
        double atMs = delay.answeredMs(count++, nowMs);
        if (atMs <= nowMs) {
            answer(request);
        } else {
            loop.schedule(atMs, () -> answer(request));
        }
    }

    private void answer(HttpStub.Request request) {
        byte[] body = body(request, manner == Manner.WRONG_VALUE);
        switch (manner) {
            case TWICE -> request.answerTwice(body);
            case CUT -> {
                raw(request, "HTTP/1.1 200 OK\r\nContent-Length: " + (body.length + 10) + "\r\n\r\n", body);
                request.from.close();
            }
            case NO_LENGTH -> {
                raw(request, "HTTP/1.1 200 OK\r\n\r\n", body);
                request.from.close();
            }
            case HUGE -> raw(request, "HTTP/1.1 200 OK\r\nContent-Length: 4294967296\r\n\r\n", body);
            case GARBLED -> raw(request, "what is this?\r\n\r\n", body);
            case CLOSED -> request.from.close();
            case SILENT -> {}
            default -> request.answer(200, "", body);
        }
    }

    private static void raw(HttpStub.Request request, String head, byte[] body) {
        byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
        request.from.write(ByteBuffer.allocate(bytes.length + body.length)
                .put(bytes)
                .put(body)
                .flip());
    }

    private static byte[] body(HttpStub.Request request, boolean wrong) {
        String id = request.headers.get("req-id");
        StringBuilder body = new StringBuilder("{\"all_in\":true,\"matches\":[");
        try {
            JsonNode tree = Document.JSON.readTree(request.body);
            byte[] text = tree.get("text").asText().getBytes(StandardCharsets.UTF_8);
            boolean first = true;
            for (JsonNode segment : tree.get("segments")) {
                int shard = segment.get("segment").asInt();
                body.append(first ? "" : ",")
                        .append("{\"segment\":")
                        .append(shard)
                        .append(",\"payload\":\"")
                        .append(wrong ? "0" : Arrival.value(id + '.' + shard, shard, text))
                        .append("\"}");
                first = false;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("no JSON", e);
        }
        return body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        stand.close();
        loop.close();
    }
}
