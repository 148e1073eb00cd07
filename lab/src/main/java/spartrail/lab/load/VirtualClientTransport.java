package spartrail.lab.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import spartrail.lab.plan.Arrival;
import spartrail.model.TimerQueue;

/**
 * The generator on a virtual clock, against a responder whose delays are a script: what a report must say then follows
 * from arithmetic. Connections come up at once.
 */
public class VirtualClientTransport implements ClientTransport {
    /** When a request that came at a time is answered. */
    public interface Responder {
        double answeredMs(long number, double atMs);
    }

    private final Responder responder;
    private final TimerQueue timetable = new TimerQueue();
    private LoadGenerator generator;
    private double nowMs;
    private long count;
    private long encoded;

    public VirtualClientTransport(Responder responder) {
        this.responder = responder;
    }

    /** Plays the whole plan; the time at its end. */
    public final double play(LoadGenerator played) {
        generator = played;
        generator.start(0);
        while (!generator.over()) {
            nowMs = Math.min(generator.nextMs(), timetable.nextDueMs());
            timetable.runDue(nowMs);
            if (generator.nextMs() <= nowMs) {
                generator.run(nowMs);
            }
        }
        return nowMs;
    }

    @Override
    public void open(ClientConnection conn) {
        timetable.schedule(nowMs, () -> generator.connected(conn, nowMs));
    }

    @Override
    public void send(ClientConnection conn, ClientAttempt ask, double leftMs) {
        encoded += HttpClientTransport.request(conn, ask, leftMs).remaining();
        generator.written(conn, nowMs);
        double answeredMs = responder.answeredMs(count++, nowMs);
        if (!Double.isFinite(answeredMs)) {
            return;
        }
        timetable.schedule(answeredMs, () -> {
            if (!conn.gone) {
                generator.answered(conn, decoded(body(ask)), nowMs);
            }
        });
    }

    @Override
    public void close(ClientConnection conn) {
        // Nothing is held for it.
    }

    /** By way of its bytes, so that a virtual run goes through all that a real one does but sockets. */
    private static HttpResponse decoded(byte[] body) {
        byte[] head =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        HttpResponseReader reader = new HttpResponseReader();
        try {
            reader.take(ByteBuffer.allocate(head.length + body.length)
                    .put(head)
                    .put(body)
                    .flip());
            return reader.next();
        } catch (HttpResponseReader.Unusable e) {
            throw new IllegalStateException(e);
        }
    }

    /** Bytes of requests so far. */
    public long encoded() {
        return encoded;
    }

    /** What front nodes and servers would make of this request. */
    static byte[] body(ClientAttempt ask) {
        byte[] text = ask.arrival.text().getBytes(StandardCharsets.UTF_8);
        StringBuilder body = new StringBuilder("{\"all_in\":true,\"matches\":[");
        for (int i = 0; i < ask.arrival.shards().length; i++) {
            int shard = ask.arrival.shards()[i];
            body.append(i == 0 ? "" : ",")
                    .append("{\"segment\":")
                    .append(shard)
                    .append(",\"payload\":\"")
                    .append(Arrival.value(ask.id() + '.' + shard, shard, text))
                    .append("\"}");
        }
        return body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
