package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * A request in flight, which watches its connection for a disconnect until the response. Runs on the I/O thread only.
 *
 * <pre>
 *              bytes received                          end or reset          response given
 * WATCHED      buffered for the next requests; to      closed, reported as   FINISHED, written
 *              DISCARDING if they begin with no        gone: FINISHED
 *              request; if there is no more room,
 *              given up: FINISHED
 * DISCARDING   discarded                               as in WATCHED         FINISHED, written as the connection's last
 * FINISHED     left to the next reader                 the same              ignored, as only the first one counts
 * </pre>
 *
 * <p>Bytes that were read must not be discarded if there may be a request among them: its client would never get a
 * response. While bytes are left in the socket, a disconnect behind them cannot be seen, and the node must not begin to
 * work for a client that may have left; so a request is given up then.
 */
public final class ClientRequest {
    /** The client's id of the request. */
    public final String id;

    /** What is known of the client of a request after the bytes behind it were read. */
    enum ClientPresence {
        CONNECTED,
        GONE,
        /** There are more bytes than may be read, so the client may have disconnected behind them. */
        UNREAD_BYTES
    }

    /** The most reads in a row of bytes that are discarded. */
    private static final int MAX_DISCARDING_READS = 4;

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
     * that the client has disconnected, and would continue to work for it. Reads all that has arrived at once, as a
     * client may have disconnected before its request was read.
     *
     * @return what is known of the client; if it is gone, the connection is closed
     */
    ClientPresence watchClient() {
        RequestReadConduit source = client.requestSource;
        connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable(source));
        source.resumeReads();
        return readBehind(source);
    }

    private void onReadable(RequestReadConduit source) {
        if (finished) {
            source.suspendReads();
            return;
        }
        ClientPresence presence = readBehind(source);
        if (presence == ClientPresence.GONE) {
            handler.onClientGone(this);
        } else if (presence == ClientPresence.UNREAD_BYTES && !discarding) {
            handler.giveUp(this);
        }
    }

    /** Reads the bytes behind this request to their end, as far as there is room for them. */
    private ClientPresence readBehind(RequestReadConduit source) {
        for (int reads = 0; ; reads++) {
            ByteBuffer buffer = handler.scratchBuffer();
            discarding |= beginsWithNoRequest();
            if (discarding && reads >= MAX_DISCARDING_READS) {
                return ClientPresence.UNREAD_BYTES;
            }
            boolean hasRoom = discarding || hasRoomFor(buffer.remaining());
            if (!hasRoom && isBuffering()) {
                source.suspendReads();
                handler.markUnread(client);
                return ClientPresence.UNREAD_BYTES;
            }
            if (!hasRoom) {
                // Reads the end of the connection, or one byte in place of all.
                buffer.limit(1);
            }
            int count = readOrEnd(source, buffer);
            if (count == 0) {
                return ClientPresence.CONNECTED;
            }
            if (count < 0) {
                finished = true;
                IoUtils.safeClose(connection);
                return ClientPresence.GONE;
            }
            if (!discarding) {
                bufferPipelined(buffer.flip());
            }
        }
    }

    /** Reads into the buffer; -1 if the stream has ended, by a reset too. */
    private static int readOrEnd(RequestReadConduit source, ByteBuffer buffer) {
        try {
            return source.readNow(buffer);
        } catch (IOException e) {
            return -1;
        }
    }

    private boolean isBuffering() {
        return connection.getExtraBytes() instanceof PipelinedRequests;
    }

    private boolean hasRoomFor(int bytes) {
        boolean isFull =
                connection.getExtraBytes() instanceof PipelinedRequests buffered && !buffered.hasRoomFor(bytes);
        return !isFull && handler.mayReadPipelined();
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
            return new PipelinedRequests(ByteBuffer.allocate(0), handler.maxPipelinedBytes());
        }
        PipelinedRequests buffered = new PipelinedRequests(before.getBuffer(), handler.maxPipelinedBytes());
        before.close();
        return buffered;
    }

    /** Sends the final response; a second one is ignored. */
    public void respond(ClientResponse response) {
        if (finished) {
            return;
        }
        finished = true;
        client.requestSource.suspendReads();
        handler.sendResponse(exchange, response, discarding);
    }
}
