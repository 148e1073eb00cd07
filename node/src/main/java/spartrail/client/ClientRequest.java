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
 * A request in flight, which watches its connection for a disconnect until the response. Runs on the I/O thread only.
 *
 * <pre>
 *              bytes received                          end or reset          response given
 * WATCHED      buffered for the next request, up to    closed, reported as   FINISHED, written
 *              its limit; then to DISCARDING           gone: FINISHED
 * DISCARDING   discarded                               the same              FINISHED, written as the connection's last
 * FINISHED     left to the next reader                 the same              ignored, as only the first one counts
 * </pre>
 */
public final class ClientRequest {
    /** The client's id of the request. */
    public final String id;

    private final HttpRequestHandler handler;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    /** The time at which its last byte was read. */
    public final double arrivedMs;

    private boolean finished;
    private boolean discarding;

    ClientRequest(HttpRequestHandler handler, HttpServerExchange exchange, String id, double arrivedMs) {
        this.handler = handler;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.id = id;
        this.arrivedMs = arrivedMs;
    }

    static StreamConnection channelOf(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /** Whether the client still waits for a response. */
    public boolean isClientWaiting() {
        return !finished;
    }

    /**
     * Keeps reading the connection while the request is in flight. Without a pending read, the node would not notice
     * that the client has disconnected, and would continue to work for it.
     */
    void watchClient() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable(source));
        source.resumeReads();
    }

    private void onReadable(StreamSourceConduit source) {
        if (finished) {
            source.suspendReads();
            return;
        }
        try {
            ByteBuffer buffer = handler.scratchBuffer();
            int count = source.read(buffer);
            if (count < 0) {
                onDisconnect();
            } else if (count > 0) {
                bufferPipelined(buffer.flip());
            }
        } catch (IOException e) {
            onDisconnect();
        }
    }

    private void bufferPipelined(ByteBuffer pipelined) {
        PooledByteBuffer before = connection.getExtraBytes();
        if (discarding || !handler.reservePipelined(exchange, pipelined.remaining())) {
            discarding = true;
        } else if (before instanceof PipelinedRequests buffered) {
            discarding = !buffered.append(pipelined);
        } else if (before == null) {
            connection.setExtraBytes(new PipelinedRequests(pipelined));
        } else {
            PipelinedRequests buffered = new PipelinedRequests(before.getBuffer());
            before.close();
            discarding = !buffered.append(pipelined);
            connection.setExtraBytes(buffered);
        }
    }

    private void onDisconnect() {
        finished = true;
        IoUtils.safeClose(connection);
        handler.onClientGone(this);
    }

    /** Sends the final response; a second one is ignored. */
    public void respond(ClientResponse response) {
        if (finished) {
            return;
        }
        finished = true;
        connection.getOriginalSourceConduit().suspendReads();
        handler.sendResponse(exchange, response, discarding);
    }
}
