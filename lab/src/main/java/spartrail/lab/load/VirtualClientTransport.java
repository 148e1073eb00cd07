package spartrail.lab.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import spartrail.lab.plan.Arrival;
import spartrail.model.TimerQueue;

/**
 * Runs a generator on a virtual clock against a responder with given delays, so that the expected figures of a report
 * can be calculated. Connections are established at once.
 */
public class VirtualClientTransport implements ClientTransport {
    /** Decides when a request is answered, by its number and the time at which it arrived. */
    public interface Responder {
        double answeredMs(long number, double atMs);
    }

    private final Responder responder;
    private final TimerQueue timers = new TimerQueue();
    private LoadGenerator generator;
    private double nowMs;
    private long requestCount;
    private long encodedBytes;

    public VirtualClientTransport(Responder responder) {
        this.responder = responder;
    }

    /** Plays the whole plan; returns the virtual time at its end. */
    public final double play(LoadGenerator newGenerator) {
        generator = newGenerator;
        generator.start(0);
        while (!generator.isOver()) {
            nowMs = Math.min(generator.nextMs(), timers.nextDueMs());
            timers.runDue(nowMs);
            if (generator.nextMs() <= nowMs) {
                generator.run(nowMs);
            }
        }
        return nowMs;
    }

    @Override
    public void open(ClientConnection connection) {
        timers.schedule(nowMs, () -> generator.onConnected(connection, nowMs));
    }

    @Override
    public void send(ClientConnection connection, ClientAttempt attempt, double leftMs) {
        encodedBytes +=
                HttpClientTransport.encodeRequest(connection, attempt, leftMs).remaining();
        generator.onWritten(connection, nowMs);
        double answeredMs = responder.answeredMs(requestCount++, nowMs);
        if (!Double.isFinite(answeredMs)) {
            return;
        }
        timers.schedule(answeredMs, () -> {
            if (!connection.isDropped) {
                generator.onResponse(connection, decode(answerBody(attempt)), nowMs);
            }
        });
    }

    @Override
    public void close(ClientConnection connection) {
        // There are no resources to release.
    }

    /** Encodes and parses an answer, so that a virtual run executes the same code as a real one, except for sockets. */
    private static HttpResponse decode(byte[] body) {
        byte[] head =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        HttpResponseReader reader = new HttpResponseReader();
        try {
            reader.append(ByteBuffer.allocate(head.length + body.length)
                    .put(head)
                    .put(body)
                    .flip());
            return reader.readNext();
        } catch (HttpResponseReader.InvalidResponseException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Number of bytes of all requests so far. */
    public long encoded() {
        return encodedBytes;
    }

    /** The body that a front node with emulated servers answers to this request. */
    static byte[] answerBody(ClientAttempt attempt) {
        byte[] text = attempt.arrival.text().getBytes(StandardCharsets.UTF_8);
        StringBuilder body = new StringBuilder("{\"all_in\":true,\"matches\":[");
        for (int i = 0; i < attempt.arrival.shards().length; i++) {
            int shard = attempt.arrival.shards()[i];
            body.append(i == 0 ? "" : ",")
                    .append("{\"segment\":")
                    .append(shard)
                    .append(",\"payload\":\"")
                    .append(Arrival.value(attempt.id() + '.' + shard, shard, text))
                    .append("\"}");
        }
        return body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
