package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import spartrail.client.ClientCounters.CloseReason;
import spartrail.client.ClientCounters.Rejection;
import spartrail.intake.RequestFraming;
import spartrail.intake.RequestIntake;
import spartrail.model.MalformedMessageException;
import spartrail.model.NodeClock;

/** Handles HTTP requests from the complete head to the response. Runs on the I/O thread only. */
final class HttpRequestHandler implements HttpHandler {
    /** The longest body that the protocol permits. */
    static final long MAX_BODY_BYTES = 64 * 1024;

    private static final int BODY_TIMEOUT_MS = 1000;
    /** A client that has not read its response by then has stopped waiting for it. */
    private static final int UNREAD_RESPONSE_TIMEOUT_MS = 5000;

    private final ClientConnections connections;
    private final ClientQueryDecoder decoder;
    private final NodeClock clock;
    private final ClientCounters counters;
    private ClientQueryListener queryListener;
    private boolean ready;
    private boolean shuttingDown;

    HttpRequestHandler(
            ClientConnections connections,
            ClientQueryDecoder decoder,
            NodeClock clock,
            ClientQueryListener queryListener,
            ClientCounters counters) {
        this.connections = connections;
        this.decoder = decoder;
        this.clock = clock;
        this.queryListener = queryListener;
        this.counters = counters;
    }

    /** Sets whether {@code GET /up} reports the node as ready. */
    void setReady(boolean isReady) {
        ready = isReady;
    }

    /** Makes each further response the last of its connection. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Rejects all further queries at once, as their listener has ended. */
    void rejectQueries() {
        queryListener = new ClientQueryListener() {
            @Override
            public void onQuery(ClientQuery query, ClientRequest request) {
                request.respond(ClientResponse.rejected(0));
            }

            @Override
            public void onClientGone(ClientRequest request) {
                // There is no request in flight, as each is answered at once.
            }
        };
    }

    // ---- Requests ----

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        StreamConnection channel = ClientRequest.channelOf(exchange);
        ClientConnection client = connections.get(channel);
        if (client == null) {
            // The connection was evicted after Undertow had read the request.
            IoUtils.safeClose(channel);
            return;
        }
        exchange.addExchangeCompleteListener((ended, next) -> onExchangeComplete(ended, client, next));
        if (client.state == ClientConnection.State.CLOSING) {
            // This connection can no longer carry a response, so the request must not be processed.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        client.cancelTimeout();
        client.state = ClientConnection.State.BODY;
        connections.countHead(client, exchange.getRequestHeaders().size(), countUnhandledBytes(exchange));
        if (client.framing.isInvalid() || !isEndAgreed(exchange, client)) {
            rejectMalformed(
                    exchange, StatusCodes.BAD_REQUEST, "the end of the request is not stated as HTTP/1.1 has it");
        } else if (exchange.getRequestMethod().equals(Methods.GET)
                && exchange.getRequestPath().equals("/up")) {
            respondReadiness(exchange, client);
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            receiveBody(exchange, client);
        } else {
            rejectMalformed(exchange, StatusCodes.METHOD_NOT_ALLOWED, "POST a multiget, or GET /up");
        }
    }

    /** Whether a request that is complete to Undertow is so, with the same end, to {@link RequestFraming} as well. */
    private static boolean isEndAgreed(HttpServerExchange exchange, ClientConnection client) {
        return !exchange.isRequestComplete() || client.framing.endsBefore(countUnhandledBytes(exchange));
    }

    /** The number of bytes that were read and belong to no request handled so far. */
    private static int countUnhandledBytes(HttpServerExchange exchange) {
        PooledByteBuffer unhandled = ((HttpServerConnection) exchange.getConnection()).getExtraBytes();
        return unhandled == null ? 0 : unhandled.getBuffer().remaining();
    }

    /** Prepares the connection for its next request, and has Undertow read that unless the connection closes. */
    private void onExchangeComplete(
            HttpServerExchange exchange, ClientConnection client, ExchangeCompletionListener.NextListener next) {
        client.cancelTimeout();
        if (client.state == ClientConnection.State.CLOSING) {
            return;
        }
        if (client.hasUnreadBytes() && countUnhandledBytes(exchange) == 0) {
            bufferUnreadBytes(exchange, client);
        }
        connections.endRequest(client, countUnhandledBytes(exchange));
        connections.markUsed(client);
        PooledByteBuffer buffered = ((HttpServerConnection) exchange.getConnection()).getExtraBytes();
        if (buffered != null) {
            connections.handleBuffered(client, buffered, next::proceed);
            return;
        }
        client.state = ClientConnection.State.IDLE;
        if (shuttingDown) {
            // The shutdown began while a response was being written that was not marked as the last one, and idle
            // connections have been closed already; so this connection is closed here.
            connections.closeGracefully(client.channel);
            return;
        }
        next.proceed();
    }

    /**
     * Reads bytes that were left in the socket. Otherwise the next request of an idle connection could not be told from
     * one that has waited there.
     */
    private void bufferUnreadBytes(HttpServerExchange exchange, ClientConnection client) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        ByteBuffer buffer = connections.scratchBuffer();
        try {
            if (client.requestSource.readNow(buffer) > 0) {
                connection.setExtraBytes(new PipelinedRequests(buffer.flip(), connections.maxPipelinedBytes()));
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private static void onRequestComplete(ClientConnection client) {
        client.hasSentRequest = true;
        client.cancelFirstRequestTimeout();
    }

    private void respondReadiness(HttpServerExchange exchange, ClientConnection client) {
        counters.countReadinessCheck();
        onRequestComplete(client);
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        if (shuttingDown || !exchange.isRequestComplete()) {
            // Undertow would read a body to its end before the next request, and it may have none.
            ClientResponse response = ClientResponse.readiness(ready && !shuttingDown);
            boolean isLast = !exchange.isRequestComplete();
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> sendResponse(exchange, response, isLast));
        } else {
            exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.endExchange();
        }
    }

    private void receiveBody(HttpServerExchange exchange, ClientConnection client) {
        long length = exchange.getRequestContentLength();
        if (length > MAX_BODY_BYTES) {
            rejectMalformed(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        connections.beginBody(client, length);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (complete, body) -> onBody(complete, client, body),
                        (failed, e) -> IoUtils.safeClose(failed.getConnection()));
        if (client.isSendingBody()) {
            connections.startTimeout(client, BODY_TIMEOUT_MS);
        }
    }

    private void onBody(HttpServerExchange exchange, ClientConnection client, byte[] body) {
        client.cancelTimeout();
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        int bytesBehind = countUnhandledBytes(exchange);
        if (!client.framing.endsBefore(bytesBehind)) {
            rejectMalformed(exchange, StatusCodes.BAD_REQUEST, "the end of the body is not stated as HTTP/1.1 has it");
            return;
        }
        counters.countQuery();
        if (!connections.keepBody(client, body.length, bytesBehind)) {
            reject(exchange, client, Rejection.OUT_OF_MEMORY);
            return;
        }
        double nowMs = clock.nowMs();
        double arrivedMs = client.arrivals.timeOfLastHandledByte(bytesBehind, nowMs);
        try {
            ClientQuery query = decoder.decode(exchange.getRequestPath(), exchange.getRequestHeaders(), body);
            if (RequestIntake.isExpired(arrivedMs, query.clientTimeoutMs(), nowMs)) {
                reject(exchange, client, Rejection.EXPIRED);
                return;
            }
            ClientRequest request = new ClientRequest(this, exchange, client, query.id(), arrivedMs);
            onRequestComplete(client);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handOn(query, request));
        } catch (MalformedMessageException e) {
            rejectMalformed(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
        }
    }

    /**
     * Hands a query on whose client is known to be connected. That is unknown if not all of its bytes could be read, as
     * the end of the connection comes behind them; then the query is rejected.
     */
    private void handOn(ClientQuery query, ClientRequest request) {
        switch (request.watchClient()) {
            case CONNECTED -> queryListener.onQuery(query, request);
            case UNREAD_BYTES -> {
                counters.countRejection(Rejection.UNREAD_BYTES, query.id());
                request.respond(ClientResponse.rejected(0));
            }
            default -> counters.countRejection(Rejection.CLIENT_GONE, query.id());
        }
    }

    /** Rejects a complete request of which no part was sent. */
    private void reject(HttpServerExchange exchange, ClientConnection client, Rejection reason) {
        counters.countRejection(reason, exchange.getRequestHeaders().getFirst(ClientQueryDecoder.ID_HEADER));
        onRequestComplete(client);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> sendResponse(exchange, ClientResponse.rejected(0), false));
    }

    /**
     * Rejects a request and closes its connection, as the end of a malformed request, and so the start of the next one,
     * is uncertain. Runs as a dispatched task: if the exchange ended before the handler returns, Undertow would close
     * the connection without the lingering close.
     */
    private void rejectMalformed(HttpServerExchange exchange, int status, String problem) {
        counters.countMalformed();
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> sendResponse(exchange, ClientResponse.malformed(status, problem), true));
    }

    // ---- For requests in flight ----

    /** A buffer for the bytes of one read; the next read overwrites its content. */
    ByteBuffer scratchBuffer() {
        return connections.scratchBuffer();
    }

    /** Whether there is memory for the bytes of one more read behind a request in flight. */
    boolean mayReadPipelined() {
        return connections.mayReadPipelined();
    }

    /** The most bytes that are buffered behind a request in flight. */
    int maxPipelinedBytes() {
        return connections.maxPipelinedBytes();
    }

    /** Counts the bytes that are buffered behind a request in flight. */
    void countPipelined(ClientConnection client, int bytes) {
        connections.countPipelined(client, bytes);
    }

    /** Marks that from now on the socket may hold bytes that were not read for want of room. */
    void markUnread(ClientConnection client) {
        if (!client.hasUnreadBytes()) {
            client.unreadSinceMs = clock.nowMs();
        }
    }

    void onClientGone(ClientRequest request) {
        queryListener.onClientGone(request);
    }

    /** Ends a request in flight whose client can no longer be watched, as it sends more than is buffered. */
    void giveUp(ClientRequest request) {
        counters.countRejection(Rejection.GIVEN_UP, request.id);
        queryListener.onClientGone(request);
        request.respond(ClientResponse.failure());
    }

    // ---- Responses ----

    /**
     * Writes a response, and closes the connection after it if that is requested, or if the node shuts down and no
     * further request was read on it.
     */
    void sendResponse(HttpServerExchange exchange, ClientResponse response, boolean isLast) {
        ClientConnection client = connections.get(ClientRequest.channelOf(exchange));
        if (client == null) {
            return;
        }
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        // Without a timeout, each client that never reads would hold a descriptor and delay the node's shutdown.
        connections.startTimeout(client, UNREAD_RESPONSE_TIMEOUT_MS);
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, response.status() == StatusCodes.OK ? "application/json" : "text/plain");
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfter());
        }
        boolean mayCarryAnother = !shuttingDown || countUnhandledBytes(exchange) > 0;
        if (mayCarryAnother && !isLast && exchange.isPersistent()) {
            exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), IoCallback.END_EXCHANGE);
        } else {
            sendLastResponse(exchange, response, client);
        }
    }

    private void sendLastResponse(HttpServerExchange exchange, ClientResponse response, ClientConnection client) {
        exchange.setPersistent(false);
        exchange.setResponseContentLength(response.body().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange written, Sender sender) {
                connections.closeGracefully(client.channel);
            }

            @Override
            public void onException(HttpServerExchange broken, Sender sender, IOException e) {
                connections.closeNow(client, CloseReason.WRITE_FAILED);
            }
        });
    }
}
