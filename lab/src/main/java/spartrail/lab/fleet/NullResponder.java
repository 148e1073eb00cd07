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
 * An emulated front node without servers. It computes the values that servers would return and answers each request
 * after the delay that a function gives, or with a fault.
 */
public final class NullResponder implements AutoCloseable {
    /** Decides when a request is answered, by its number and the time at which it arrived. */
    public interface Delay {
        double answeredMs(long number, double atMs);
    }

    /** How it answers: correctly, or with one fault. */
    public enum Behavior {
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
    private final HttpStub http;
    private final Delay delay;
    private volatile Behavior behavior = Behavior.RIGHT;
    private long count;

    public NullResponder(int port, Delay delay) throws IOException {
        this.delay = delay;
        this.http = new HttpStub(loop, new InetSocketAddress("127.0.0.1", port), this::handleRequest);
    }

    public String address() {
        return "127.0.0.1:" + http.port();
    }

    public SocketLoop loop() {
        return loop;
    }

    public void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    public int connections() {
        int[] count = new int[1];
        loop.call(() -> count[0] = http.connections());
        return count[0];
    }

    private void handleRequest(HttpStub.Request request) {
        if (request.path.equals("/up")) {
            request.respond(200, "", new byte[0]);
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
        byte[] body = answerBody(request, behavior == Behavior.WRONG_VALUE);
        switch (behavior) {
            case TWICE -> request.respondTwice(body);
            case CUT -> {
                writeRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: " + (body.length + 10) + "\r\n\r\n", body);
                request.connection.close();
            }
            case NO_LENGTH -> {
                writeRaw(request, "HTTP/1.1 200 OK\r\n\r\n", body);
                request.connection.close();
            }
            case HUGE -> writeRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: 4294967296\r\n\r\n", body);
            case GARBLED -> writeRaw(request, "what is this?\r\n\r\n", body);
            case CLOSED -> request.connection.close();
            case SILENT -> {}
            default -> request.respond(200, "", body);
        }
    }

    private static void writeRaw(HttpStub.Request request, String head, byte[] body) {
        byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
        request.connection.write(ByteBuffer.allocate(bytes.length + body.length)
                .put(bytes)
                .put(body)
                .flip());
    }

    private static byte[] answerBody(HttpStub.Request request, boolean wrong) {
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
            throw new IllegalArgumentException("request body is not JSON", e);
        }
        return body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        http.close();
        loop.close();
    }
}
