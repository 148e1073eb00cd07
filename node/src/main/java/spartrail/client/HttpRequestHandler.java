package spartrail.client;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import spartrail.model.MalformedMessageException;
import spartrail.model.NodeClock;

/** Serves HTTP requests from their head to their response, each on the I/O thread. */
final class HttpRequestHandler implements HttpHandler {
    /** The longest body that the protocol knows. */
    static final long MAX_BODY_BYTES = 64 * 1024;

    private static final int BODY_TIMEOUT_MS = 1000;
    /** A response that its client has not read by then is no more waited for by anybody. */
    private static final int UNREAD_RESPONSE_TIMEOUT_MS = 5000;

    private final ClientConnections connections;
    private final ClientQueryDecoder decoder;
    private final NodeClock clock;
    private ClientQueryListener queryListener;
    private boolean ready;
    private boolean shuttingDown;

    HttpRequestHandler(
            ClientConnections connections,
            ClientQueryDecoder decoder,
            NodeClock clock,
            ClientQueryListener queryListener) {
        this.connections = connections;
        this.decoder = decoder;
        this.clock = clock;
        this.queryListener = queryListener;
    }

    /** What {@code /up} says from now on. */
    void setReady(boolean isReady) {
        ready = isReady;
    }

    /** From now on each response is the last of its connection. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Nobody takes queries any more: each is rejected at once. */
    void rejectQueries() {
        queryListener = new ClientQueryListener() {
            @Override
            public void onQuery(ClientQuery query, ClientRequest request) {
                request.respond(ClientResponse.rejected(0));
            }

            @Override
            public void onClientGone(ClientRequest request) {
                // Nothing is in flight for it.
            }
        };
    }

    // ---- Requests ----

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        StreamConnection channel = ClientRequest.channelOf(exchange);
        ClientConnection client = connections.get(channel);
        if (client == null) {
            // Evicted while its request was on the way up.
            IoUtils.safeClose(channel);
            return;
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (onExchangeComplete(ended, client)) {
                next.proceed();
            }
        });
        if (client.state == ClientConnection.State.CLOSING) {
            // Read on a connection that can no longer carry its response, it must not be forwarded.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        client.cancelTimeout();
        client.state = ClientConnection.State.BODY;
        if (exchange.getRequestMethod().equals(Methods.GET)
                && exchange.getRequestPath().equals("/up")) {
            respondReadiness(exchange, client);
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            receiveBody(exchange, client);
        } else {
            rejectMalformed(exchange, StatusCodes.METHOD_NOT_ALLOWED, "POST a multiget, or GET /up");
        }
    }

    /** The connection is ready for its next request; false where Undertow is not to read it. */
    private boolean onExchangeComplete(HttpServerExchange exchange, ClientConnection client) {
        connections.release(client);
        if (client.state == ClientConnection.State.CLOSING) {
            return false;
        }
        if (((HttpServerConnection) exchange.getConnection()).getExtraBytes() == null) {
            client.state = ClientConnection.State.IDLE;
        } else {
            connections.onRequestStart(client);
        }
        connections.markUsed(client);
        if (shuttingDown && client.isIdle()) {
            // Its response was on its way, as one of many, when the shutdown began; nobody else would end it.
            connections.closeGracefully(client.channel);
            return false;
        }
        return true;
    }

    private void respondReadiness(HttpServerExchange exchange, ClientConnection client) {
        client.hasSentRequest = true;
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        if (shuttingDown) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> sendResponse(exchange, ClientResponse.rejected(0), true));
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
        if (!isBodyEndKnown(exchange)) {
            rejectMalformed(exchange, StatusCodes.BAD_REQUEST, "a body comes with its length or in chunks");
            return;
        }
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        connections.reserveBody(client, length < 0 ? MAX_BODY_BYTES : Math.min(length, MAX_BODY_BYTES));
        exchange.getRequestReceiver()
                .receiveFullBytes((complete, body) -> onBody(complete, client, body), (failed, e) -> {
                    connections.release(client);
                    IoUtils.safeClose(failed.getConnection());
                });
        if (client.isSendingBody()) {
            connections.startTimeout(client, BODY_TIMEOUT_MS);
        }
    }

    /**
     * Whether all readers agree where the body ends; else what one side takes for its rest another takes for a request. Two lengths, and
     * a length beside a coding, Undertow rejects by itself.
     */
    private static boolean isBodyEndKnown(HttpServerExchange exchange) {
        HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        return codings == null || (codings.size() == 1 && codings.getFirst().equalsIgnoreCase("chunked"));
    }

    private void onBody(HttpServerExchange exchange, ClientConnection client, byte[] body) {
        connections.release(client);
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        double atMs = clock.nowMs();
        try {
            ClientQuery query = decoder.decode(exchange.getRequestPath(), exchange.getRequestHeaders(), body);
            ClientRequest request = new ClientRequest(this, exchange, query.id(), atMs);
            client.hasSentRequest = true;
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                request.watchClient();
                queryListener.onQuery(query, request);
            });
        } catch (MalformedMessageException e) {
            rejectMalformed(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
        }
    }

    /**
     * Ends the connection, as behind a malformed request the next one need not begin where this one ends. Dispatched, as Undertow would
     * end by a plain close what ends before its handler returns.
     */
    private void rejectMalformed(HttpServerExchange exchange, int status, String problem) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> sendResponse(exchange, ClientResponse.malformed(status, problem), true));
    }

    // ---- For requests in flight ----

    /** For what has just been read; its content is whoever reads next's. */
    ByteBuffer scratchBuffer() {
        return connections.scratchBuffer();
    }

    /** Whether so many bytes may be buffered for this client's next request; they are reserved then. */
    boolean reservePipelined(HttpServerExchange exchange, int bytes) {
        return connections.reservePipelined(ClientRequest.channelOf(exchange), bytes);
    }

    void onClientGone(ClientRequest request) {
        queryListener.onClientGone(request);
    }

    // ---- Responses ----

    /** Writes a response; the last one of its connection where this is asked for, or the node ends. */
    void sendResponse(HttpServerExchange exchange, ClientResponse response, boolean isLast) {
        ClientConnection client = connections.get(ClientRequest.channelOf(exchange));
        if (client == null) {
            return;
        }
        client.state = ClientConnection.State.AWAITING_RESPONSE;
        // Clients that never read would hold a descriptor each, and a node that ends would wait for them.
        connections.startTimeout(client, UNREAD_RESPONSE_TIMEOUT_MS);
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, response.status() == StatusCodes.OK ? "application/json" : "text/plain");
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfter());
        }
        if (!shuttingDown && !isLast && exchange.isPersistent()) {
            exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), IoCallback.END_EXCHANGE);
        } else {
            sendLastResponse(exchange, response, client.channel);
        }
    }

    private void sendLastResponse(HttpServerExchange exchange, ClientResponse response, StreamConnection channel) {
        exchange.setPersistent(false);
        exchange.setResponseContentLength(response.body().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange written, Sender sender) {
                connections.closeGracefully(channel);
            }

            @Override
            public void onException(HttpServerExchange broken, Sender sender, IOException e) {
                connections.closeNow(channel);
            }
        });
    }
}
