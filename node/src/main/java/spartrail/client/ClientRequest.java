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
 * WATCHED      buffered for the next requests; if      closed, reported as   FINISHED, written
 *              there is no more room, to NOT_READ,     gone: FINISHED
 *              or to DISCARDING if they begin with
 *              no request
 * NOT_READ     left in the socket                      not detected          the same
 * DISCARDING   discarded                               as in WATCHED         FINISHED, written as the connection's last
 * FINISHED     left to the next reader                 the same              ignored, as only the first one counts
 * </pre>
 *
 * <p>Bytes that were read must not be discarded if there may be a request among them: its client would never get a
 * response.
 */
public final class ClientRequest {
    /** The client's id of the request. */
    public final String id;

    private final HttpRequestHandler handler;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final ClientConnection client;
    /** The time at which its last byte arrived, or an earlier one. */
    public final double arrivedMs;

    private boolean finished;
    private boolean discarding;

    ClientRequest(
            HttpRequestHandler handler,
            HttpServerExchange exchange,
            ClientConnection client,
            String id,
            double arrivedMs) {
        this.handler = handler;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.client = client;
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
     * that the client has disconnected, and would continue to work for it. Reads once at once, as a client may have
     * disconnected before its request was read.
     *
     * @return whether the client is still connected; if not, the connection is closed
     */
    boolean watchClient() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable(source));
        source.resumeReads();
        return readBehind(source);
    }

    private void onReadable(StreamSourceConduit source) {
        if (finished) {
            source.suspendReads();
        } else if (!readBehind(source)) {
            handler.onClientGone(this);
        }
    }

    /** Reads bytes behind this request; false if the client has disconnected. */
    private boolean readBehind(StreamSourceConduit source) {
        ByteBuffer buffer = handler.scratchBuffer();
        discarding |= beginsWithNoRequest();
        if (!discarding && !hasRoomFor(buffer.remaining())) {
            source.suspendReads();
            handler.markUnread(client);
            return true;
        }
        int count = readOrEnd(source, buffer);
        if (count < 0) {
            finished = true;
            IoUtils.safeClose(connection);
            return false;
        }
        if (count > 0 && !discarding) {
            bufferPipelined(buffer.flip());
        }
        return true;
    }

    /** Reads into the buffer; -1 if the stream has ended, by a reset too. */
    private static int readOrEnd(StreamSourceConduit source, ByteBuffer buffer) {
        try {
            return source.read(buffer);
        } catch (IOException e) {
            return -1;
        }
    }

    private boolean hasRoomFor(int bytes) {
        boolean full = connection.getExtraBytes() instanceof PipelinedRequests buffered && buffered.isFullFor(bytes);
        return !full && handler.mayReadPipelined();
    }

    private boolean beginsWithNoRequest() {
        return connection.getExtraBytes() instanceof PipelinedRequests buffered && !buffered.mayBeginWithRequest();
    }

    private void bufferPipelined(ByteBuffer pipelined) {
        PipelinedRequests buffered = takeBuffered();
        buffered.append(pipelined);
        connection.setExtraBytes(buffered);
        handler.countPipelined(client, buffered.getBuffer().remaining());
    }

    /** The bytes behind this request that were read so far; Undertow may have read the first ones. */
    private PipelinedRequests takeBuffered() {
        PooledByteBuffer before = connection.getExtraBytes();
        if (before instanceof PipelinedRequests buffered) {
            return buffered;
        }
        if (before == null) {
            return new PipelinedRequests(ByteBuffer.allocate(0));
        }
        PipelinedRequests buffered = new PipelinedRequests(before.getBuffer());
        before.close();
        return buffered;
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
