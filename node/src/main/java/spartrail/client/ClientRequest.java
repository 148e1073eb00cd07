package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;

/** A request in hand: its client is watched until it has its one answer. */
public final class ClientRequest {
    private final ClientDoor door;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    /** When its last byte was read. */
    public final double arrivedMs;
    private boolean over;

    ClientRequest(ClientDoor door, HttpServerExchange exchange, double arrivedMs) {
        this.door = door;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.arrivedMs = arrivedMs;
    }

    static StreamConnection channel(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /**
     * Reads on while the request is in hand. Danger: with no read pending nobody notices that a client has
     * left, and work goes on for it. What a client sends ahead is kept for its next request.
     */
    void watchClient() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> readable(source));
        if (connection.getExtraBytes() == null) {
            source.resumeReads();
        }
    }

    private void readable(StreamSourceConduit source) {
        if (over) {
            source.suspendReads();
            return;
        }
        PooledByteBuffer ahead = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int got = source.read(ahead.getBuffer());
            if (got < 0) {
                left();
            } else if (got > 0) {
                source.suspendReads();
                ahead.getBuffer().flip();
                connection.ungetRequestBytes(ahead);
                kept = true;
            }
        } catch (IOException e) {
            left();
        } finally {
            if (!kept) {
                ahead.close();
            }
        }
    }

    private void left() {
        over = true;
        IoUtils.safeClose(connection);
        door.gone(this);
    }

    /** The final answer; the first one counts. */
    public void answer(Reply reply) {
        if (over) {
            return;
        }
        over = true;
        connection.getOriginalSourceConduit().suspendReads();
        door.send(exchange, reply);
    }
}
