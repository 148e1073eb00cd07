package spartrail.client;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import spartrail.model.MalformedMessageException;
import spartrail.model.NodeClock;

/**
 * Where clients connect: HTTP requests in, final answers out. All but the constructor runs on the I/O thread. A client's
 * connection by event and state:
 *
 * <pre>
 *            bytes come          whole request       answered          shut (the node ends)          too slow, or its place is needed
 * FRESH      on to HEAD          -                   -                 stays, what it asks is its    closed
 *                                                                      last; it has just come
 * HEAD       on to BODY, or      on to BUSY          400, CLOSING      stays, the same               closed
 *            still HEAD
 * BODY       read                on to BUSY          400, CLOSING      stays, the same               closed
 * BUSY       kept ahead          after the answer    RESTING, or HEAD  its answer is the last        never before 5 s of an answer
 *                                                    with bytes ahead                                that is not read
 * RESTING    on to HEAD          -                   -                 read once more, then CLOSING  closed, the longest unused first
 * CLOSING    thrown away         never taken         -                 stays                         closed
 * </pre>
 *
 * <p>CLOSING is {@link LingeringClose}; an end or a reset closes in each state, and in BUSY is told as a client gone.
 */
public final class ClientListener {
    /** Who takes what clients ask. */
    public interface QueryListener {
        void onQuery(ClientQuery query, ClientRequest request);

        void onClientGone(ClientRequest request);
    }

    private static final System.Logger LOG = System.getLogger("spartrail.client");
    /** The longest body that the protocol knows. */
    private static final long MAX_BODY_BYTES = 64 * 1024;
    /**
     * A client that sends no whole request is owed its end within 3 s of connecting; whichever way it dawdles, these
     * come before.
     */
    private static final int FIRST_REQUEST_TIMEOUT_MS = 2000;

    private static final int HEAD_TIMEOUT_MS = 1500;
    private static final int BODY_TIMEOUT_MS = 1000;
    /** Connections of those that ask are kept; how long they are unused tells only of those that left unseen. */
    private static final int IDLE_TIMEOUT_MS = 60_000;
    /** An answer that its client has not read by then is no more waited for by anybody. */
    private static final int UNREAD_RESPONSE_TIMEOUT_MS = 5000;
    /** Between two timers so far apart what is ready is read. */
    private static final int POLL_DELAY_MS = 2;

    private final XnioIoThread io;
    private final NodeClock clock;
    private final ClientQueryDecoder decoder;
    private QueryListener queryListener;
    private final int maxConnections;
    /** Most bytes of bodies that are still coming in, and how many these may become. */
    private final long maxBufferedBytes = Runtime.getRuntime().maxMemory() / 4;

    private long bufferedBytes;
    private final AcceptingChannel<StreamConnection> serverChannel;

    private enum State {
        NEW,
        HEAD,
        BODY,
        AWAITING_RESPONSE,
        IDLE,
        CLOSING
    }

    /** A client's connection. */
    private static final class ClientConnection {
        State state = State.NEW;
        StreamSourceConduit source;
        StreamSinkConduit sink;
        /** A whole request of it has been read, now or earlier. */
        boolean hasSentRequest;
        /** What its body, still coming in, may take. */
        long bodyBytes;
        /** Bytes kept for its next request. */
        long pipelinedBytes;
        /** When a head or a body that is coming in, or an answer that is going out, has taken too long. */
        XnioExecutor.Key timeout;
    }

    /** Sees that a request begins, which Undertow tells only once its head is whole. */
    private final class RequestStartConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final StreamConnection connection;
        private final ClientConnection client;

        RequestStartConduit(StreamSourceConduit next, StreamConnection connection, ClientConnection client) {
            super(next);
            this.connection = connection;
            this.client = client;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            int got = super.read(into);
            if (got > 0 && (client.state == State.NEW || client.state == State.IDLE)) {
                onRequestStart(connection, client);
            }
            return got;
        }
    }

    private void onRequestStart(StreamConnection connection, ClientConnection client) {
        client.state = State.HEAD;
        startTimeout(connection, client, HEAD_TIMEOUT_MS);
    }

    /** With no request in hand, whether one is half sent or none. */
    private static final Predicate<ClientConnection> EVICTABLE = client -> client.state != State.AWAITING_RESPONSE;
    /** It has not asked anything yet. */
    private static final Predicate<ClientConnection> EVICTABLE_WITHOUT_REQUEST =
            EVICTABLE.and(client -> !client.hasSentRequest);

    private static final Predicate<ClientConnection> SENDING_BODY = client -> client.bodyBytes > 0;
    private static final Predicate<ClientConnection> IDLE = client -> client.state == State.IDLE;

    /** Open connections, the longest unused first. */
    private final Map<StreamConnection, ClientConnection> connections = new LinkedHashMap<>();

    private final ByteBuffer scratch = ByteBuffer.allocate(8 * 1024);
    private final HttpOpenListener httpListener;
    private long acceptFailures;
    private boolean ready;
    private boolean shuttingDown;

    public ClientListener(
            XnioWorker worker,
            ByteBufferPool buffers,
            InetSocketAddress address,
            NodeClock clock,
            Set<String> opTypes,
            int shards,
            int maxConnections,
            QueryListener queryListener)
            throws IOException {
        this.io = worker.getIoThread();
        this.clock = clock;
        this.decoder = new ClientQueryDecoder(opTypes, shards);
        this.queryListener = queryListener;
        this.maxConnections = maxConnections;
        httpListener = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, (int) MAX_BODY_BYTES / 4)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false)
                        .getMap());
        httpListener.setRootHandler(new HttpContinueReadHandler(this::handleRequest));
        ChannelListener<AcceptingChannel<StreamConnection>> accepting = this::accept;
        serverChannel = worker.createStreamConnectionServer(
                address,
                accepting,
                OptionMap.builder()
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.BACKLOG, 1024)
                        // Danger: they are accepted elsewhere than turned out, and a crowd takes the last descriptor
                        // meanwhile.
                        .set(Options.CONNECTION_HIGH_WATER, maxConnections + maxConnections / 8 + 1)
                        .set(Options.CONNECTION_LOW_WATER, maxConnections + maxConnections / 8)
                        .getMap());
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /** From now on connections are accepted. */
    public void startAccepting() {
        serverChannel.resumeAccepts();
    }

    /** From now on the node says that it is ready. */
    public void setReady() {
        ready = true;
    }

    /** The node says no longer that it is ready; whoever comes all the same is served. */
    public void setNotReady() {
        ready = false;
    }

    /**
     * Each answer is the last of its connection, and resting ones end. Danger: a connection that the system has accepted
     * is reset with all that was sent on it if the listening socket goes before it was taken; so it goes last. What has
     * come on a resting one and is not read yet is read before, and answered.
     */
    public void beginShutdown() {
        shuttingDown = true;
        io.executeAfter(
                () -> connectionsMatching(IDLE).toList().forEach(this::closeGracefully),
                POLL_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Nobody takes anything any more: whoever still asks is told at once to come back. */
    public void rejectQueries() {
        beginShutdown();
        queryListener = new QueryListener() {
            @Override
            public void onQuery(ClientQuery query, ClientRequest request) {
                request.respond(ClientResponse.rejected(0));
            }

            @Override
            public void onClientGone(ClientRequest request) {
                // Nothing is in hand for it.
            }
        };
    }

    /** With nobody connected, whoever came in this moment included: listens no longer. */
    public boolean stopIfDisconnected() {
        accept(serverChannel);
        if (connections.isEmpty()) {
            IoUtils.safeClose(serverChannel);
        }
        return connections.isEmpty();
    }

    /** Nothing is written any more, and what its client still sends is thrown away. */
    private void closeGracefully(StreamConnection connection) {
        ClientConnection client = connections.get(connection);
        if (client != null && client.state != State.CLOSING) {
            releaseBuffer(client);
            client.state = State.CLOSING;
            LingeringClose.begin(connection, client.sink, client.source, scratch);
        }
    }

    public void close() {
        IoUtils.safeClose(serverChannel);
        connections.keySet().stream().toList().forEach(IoUtils::safeClose);
    }

    public int connectionCount() {
        return connections.size();
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                StreamConnection connection = next;
                if (Thread.currentThread() == connection.getIoThread()) {
                    onAccepted(connection);
                } else {
                    connection.getIoThread().execute(() -> onAccepted(connection));
                }
            }
        } catch (ClosedChannelException e) {
            LOG.log(System.Logger.Level.DEBUG, "listens no longer");
        } catch (IOException e) {
            // Danger: with no descriptor left this would be tried on and on; the longest unused makes room.
            io.execute(() -> {
                if (acceptFailures++ == 0) {
                    LOG.log(System.Logger.Level.WARNING, "cannot accept a connection: " + e.getMessage());
                }
                StreamConnection candidate = evictionCandidate();
                if (candidate != null) {
                    closeNow(candidate);
                }
            });
        }
    }

    private void onAccepted(StreamConnection connection) {
        if (connections.size() >= maxConnections) {
            // Danger: clients' connections use up the descriptors that servers and discovery need.
            StreamConnection candidate = evictionCandidate();
            closeNow(candidate == null ? connection : candidate);
            if (candidate == null) {
                return;
            }
        }
        ClientConnection client = new ClientConnection();
        connections.put(connection, client);
        client.source = connection.getSourceChannel().getConduit();
        client.sink = connection.getSinkChannel().getConduit();
        connection.getSourceChannel().setConduit(new RequestStartConduit(client.source, connection, client));
        httpListener.handleEvent(connection);
        ChannelListener<? super StreamConnection> theirs = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(connection);
            ChannelListeners.invokeChannelListener(closed, theirs);
        });
        if (!connection.isOpen()) {
            remove(connection);
        } else if (!client.hasSentRequest) {
            io.executeAfter(
                    () -> io.executeAfter(
                            () -> {
                                if (!client.hasSentRequest && connections.get(connection) == client) {
                                    closeNow(connection);
                                }
                            },
                            POLL_DELAY_MS,
                            TimeUnit.MILLISECONDS),
                    FIRST_REQUEST_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The connection of this kind that has been so the longest, or null. */
    private StreamConnection longestIn(Predicate<ClientConnection> condition) {
        return connectionsMatching(condition).findFirst().orElse(null);
    }

    /** Danger: those that connect and say nothing would turn out the kept connections of those that ask. */
    private StreamConnection evictionCandidate() {
        StreamConnection withoutRequest = longestIn(EVICTABLE_WITHOUT_REQUEST);
        return withoutRequest != null ? withoutRequest : longestIn(EVICTABLE);
    }

    private Stream<StreamConnection> connectionsMatching(Predicate<ClientConnection> condition) {
        return connections.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey);
    }

    private void closeNow(StreamConnection connection) {
        remove(connection);
        IoUtils.safeClose(connection);
    }

    private void remove(StreamConnection connection) {
        releaseBuffer(connections.remove(connection));
    }

    private void handleRequest(HttpServerExchange exchange) {
        StreamConnection connection = ClientRequest.channelOf(exchange);
        ClientConnection client = connections.get(connection);
        if (client == null) {
            // Turned out while its request was on the way up.
            IoUtils.safeClose(connection);
            return;
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            releaseBuffer(client);
            if (client.state == State.CLOSING) {
                return;
            }
            if (((HttpServerConnection) ended.getConnection()).getExtraBytes() == null) {
                client.state = State.IDLE;
            } else {
                onRequestStart(connection, client);
            }
            if (connections.remove(connection, client)) {
                connections.put(connection, client);
            }
            if (shuttingDown && client.state == State.IDLE) {
                // Danger: its answer was on its way, as one of many, when the node began to end; nobody would end it.
                closeGracefully(connection);
                return;
            }
            next.proceed();
        });
        if (client.state == State.CLOSING) {
            // Danger: read on a connection that can no longer carry its answer, it must not be sent on.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        cancelTimeout(client);
        client.state = State.BODY;
        if (exchange.getRequestMethod().equals(Methods.GET)
                && exchange.getRequestPath().equals("/up")) {
            client.hasSentRequest = true;
            client.state = State.AWAITING_RESPONSE;
            if (shuttingDown) {
                exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> sendResponse(exchange, ClientResponse.rejected(0), true));
            } else {
                exchange.setStatusCode(ready ? 200 : 503);
                exchange.endExchange();
            }
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            long length = exchange.getRequestContentLength();
            if (length > MAX_BODY_BYTES) {
                rejectMalformed(exchange, 413, "the body is too long");
                return;
            }
            // Danger: where the body ends is anybody's guess, and what one side takes for its rest the other takes
            // for a request. (Two lengths, and a length beside a coding, Undertow turns away by itself.)
            HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
            if (codings != null && !(codings.size() == 1 && codings.getFirst().equalsIgnoreCase("chunked"))) {
                rejectMalformed(exchange, 400, "a body comes with its length or in chunks");
                return;
            }
            exchange.setMaxEntitySize(MAX_BODY_BYTES);
            long reservedBytes = length < 0 ? MAX_BODY_BYTES : Math.min(length, MAX_BODY_BYTES);
            // Danger: half-sent bodies fill the memory, and the node dies with all that it has in hand.
            for (StreamConnection sendingBody = longestIn(SENDING_BODY);
                    bufferedBytes + reservedBytes > maxBufferedBytes && sendingBody != null;
                    sendingBody = longestIn(SENDING_BODY)) {
                closeNow(sendingBody);
            }
            client.bodyBytes = reservedBytes;
            bufferedBytes += reservedBytes;
            exchange.getRequestReceiver()
                    .receiveFullBytes((whole, body) -> onBody(whole, client, body), (failed, e) -> {
                        releaseBuffer(client);
                        IoUtils.safeClose(failed.getConnection());
                    });
            if (client.bodyBytes > 0) {
                startTimeout(connection, client, BODY_TIMEOUT_MS);
            }
        } else {
            rejectMalformed(exchange, 405, "POST a multiget, or GET /up");
        }
    }

    /** Its body is read, or never will be. */
    private void releaseBuffer(ClientConnection client) {
        if (client != null) {
            bufferedBytes -= client.bodyBytes + client.pipelinedBytes;
            client.bodyBytes = 0;
            client.pipelinedBytes = 0;
            cancelTimeout(client);
        }
    }

    /** What is awaited of a client has come, or never will. */
    private static void cancelTimeout(ClientConnection client) {
        if (client.timeout != null) {
            client.timeout.remove();
            client.timeout = null;
        }
    }

    /**
     * What is awaited of it next is to come within this time. Danger: of a process that stood still it may wait in the
     * socket, whole, and a close would lose a request that counts as taken; so the sockets are looked at once more.
     */
    private void startTimeout(StreamConnection connection, ClientConnection client, int withinMs) {
        cancelTimeout(client);
        client.timeout = io.executeAfter(
                () -> client.timeout =
                        io.executeAfter(() -> closeNow(connection), POLL_DELAY_MS, TimeUnit.MILLISECONDS),
                withinMs,
                TimeUnit.MILLISECONDS);
    }

    private void onBody(HttpServerExchange exchange, ClientConnection client, byte[] body) {
        releaseBuffer(client);
        client.state = State.AWAITING_RESPONSE;
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
            rejectMalformed(exchange, 400, e.getMessage());
        }
    }

    /** Danger: behind a request that is none, what follows need not begin where a request does. */
    private void rejectMalformed(HttpServerExchange exchange, int status, String why) {
        // Danger: what the door ends itself, before its handler returns, Undertow ends once more, by a plain close.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> sendResponse(exchange, ClientResponse.malformed(status, why), true));
    }

    /** For what has just been read; its content is whoever reads next's. */
    ByteBuffer scratchBuffer() {
        return scratch.clear();
    }

    /** Whether so many bytes may be kept for this client's next request. */
    boolean reservePipelined(HttpServerExchange exchange, int bytes) {
        ClientConnection client = connections.get(ClientRequest.channelOf(exchange));
        boolean kept = client != null && bufferedBytes + bytes <= maxBufferedBytes;
        if (kept) {
            client.pipelinedBytes += bytes;
            bufferedBytes += bytes;
        }
        return kept;
    }

    void onClientGone(ClientRequest request) {
        queryListener.onClientGone(request);
    }

    /** An answer, the last one of its connection where this is asked for, or the node ends. */
    void sendResponse(HttpServerExchange exchange, ClientResponse response, boolean last) {
        StreamConnection connection = ClientRequest.channelOf(exchange);
        ClientConnection client = connections.get(connection);
        if (client == null) {
            return;
        }
        client.state = State.AWAITING_RESPONSE;
        // Danger: clients that never read hold a descriptor each, and a node that ends waits for them.
        startTimeout(connection, client, UNREAD_RESPONSE_TIMEOUT_MS);
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, response.status() == 200 ? "application/json" : "text/plain");
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfter());
        }
        if (!shuttingDown && !last && exchange.isPersistent()) {
            exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), IoCallback.END_EXCHANGE);
            return;
        }
        exchange.setPersistent(false);
        exchange.setResponseContentLength(response.body().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange written, Sender sender) {
                closeGracefully(connection);
            }

            @Override
            public void onException(HttpServerExchange broken, Sender sender, IOException e) {
                closeNow(connection);
            }
        });
    }
}
