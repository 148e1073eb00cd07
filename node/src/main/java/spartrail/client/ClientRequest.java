package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A request in hand: its client is watched until it has its one answer.
 *
 * <pre>
 *            bytes come                              end, reset          answer given
 * WATCHED    kept for the next request, as many as   closed, told as     OVER, written
 *            it may have; then on to SPILT           gone: OVER
 * SPILT      thrown away                             the same            OVER, written as the connection's last
 * OVER       left to whoever reads next              the same            nothing: the first one counts
 * </pre>
 */
public final class ClientRequest {
    public final String id;
    private final ClientListener door;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    /** When its last byte was read. */
    public final double arrivedMs;

    private boolean over;
    private boolean spilt;

    ClientRequest(ClientListener door, HttpServerExchange exchange, String id, double arrivedMs) {
        this.door = door;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.id = id;
        this.arrivedMs = arrivedMs;
    }

    static StreamConnection channel(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /** Whether its client still waits for it; on the I/O thread. */
    public boolean waited() {
        return !over;
    }

    /**
     * Reads on while the request is in hand, whatever the client sends. Danger: with no read pending nobody notices that a
     * client has left, and work goes on for it.
     */
    void watchClient() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> readable(source));
        source.resumeReads();
    }

    private void readable(StreamSourceConduit source) {
        if (over) {
            source.suspendReads();
            return;
        }
        try {
            ByteBuffer buffer = door.buffer();
            int got = source.read(buffer);
            if (got < 0) {
                left();
            } else if (got > 0) {
                keep(buffer.flip());
            }
        } catch (IOException e) {
            left();
        }
    }

    private void keep(ByteBuffer ahead) {
        PooledByteBuffer before = connection.getExtraBytes();
        if (spilt || !door.keeps(exchange, ahead.remaining())) {
            spilt = true;
        } else if (before instanceof PipelinedRequests kept) {
            spilt = !kept.add(ahead);
        } else if (before == null) {
            connection.setExtraBytes(new PipelinedRequests(ahead));
        } else {
            PipelinedRequests kept = new PipelinedRequests(before.getBuffer());
            before.close();
            spilt = !kept.add(ahead);
            connection.setExtraBytes(kept);
        }
    }

    private void left() {
        over = true;
        IoUtils.safeClose(connection);
        door.onClientGone(this);
    }

    /** The final answer; the first one counts. */
    public void answer(ClientResponse reply) {
        if (over) {
            return;
        }
        over = true;
        connection.getOriginalSourceConduit().suspendReads();
        door.send(exchange, reply, spilt);
    }
}
