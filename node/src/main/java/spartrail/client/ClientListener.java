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
        void onQuery(ClientQuery ask, ClientRequest request);

        void onClientGone(ClientRequest request);
    }

    private static final System.Logger LOG = System.getLogger("spartrail.client");
    /** The longest body that the protocol knows. */
    private static final long LONGEST = 64 * 1024;
    /**
     * A client that sends no whole request is owed its end within 3 s of connecting; whichever way it dawdles, these
     * come before.
     */
    private static final int SILENT_MS = 2000;

    private static final int HEAD_MS = 1500;
    private static final int BODY_MS = 1000;
    /** Connections of those that ask are kept; how long they are unused tells only of those that left unseen. */
    private static final int UNUSED_MS = 60_000;
    /** An answer that its client has not read by then is no more waited for by anybody. */
    private static final int UNREAD_ANSWER_MS = 5000;
    /** Between two timers so far apart what is ready is read. */
    private static final int LOOK_MS = 2;

    private final XnioIoThread io;
    private final NodeClock clock;
    private final ClientQueryDecoder reader;
    private QueryListener taker;
    private final int mostConnections;
    /** Most bytes of bodies that are still coming in, and how many these may become. */
    private final long mostUnread = Runtime.getRuntime().maxMemory() / 4;

    private long unread;
    private final AcceptingChannel<StreamConnection> listening;

    private enum State {
        FRESH,
        HEAD,
        BODY,
        BUSY,
        RESTING,
        CLOSING
    }

    /** A client's connection. */
    private static final class Peer {
        State state = State.FRESH;
        StreamSourceConduit source;
        StreamSinkConduit sink;
        /** A whole request of it has been read, now or earlier. */
        boolean known;
        /** What its body, still coming in, may take. */
        long unread;
        /** Bytes kept for its next request. */
        long ahead;
        /** When a head or a body that is coming in, or an answer that is going out, has taken too long. */
        XnioExecutor.Key due;
    }

    /** Sees that a request begins, which Undertow tells only once its head is whole. */
    private final class Watched extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final StreamConnection connection;
        private final Peer peer;

        Watched(StreamSourceConduit next, StreamConnection connection, Peer peer) {
            super(next);
            this.connection = connection;
            this.peer = peer;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            int got = super.read(into);
            if (got > 0 && (peer.state == State.FRESH || peer.state == State.RESTING)) {
                begins(connection, peer);
            }
            return got;
        }
    }

    private void begins(StreamConnection connection, Peer peer) {
        peer.state = State.HEAD;
        due(connection, peer, HEAD_MS);
    }

    /** With no request in hand, whether one is half sent or none. */
    private static final Predicate<Peer> UNUSED = peer -> peer.state != State.BUSY;
    /** It has not asked anything yet. */
    private static final Predicate<Peer> UNKNOWN = UNUSED.and(peer -> !peer.known);

    private static final Predicate<Peer> HALF_SENT = peer -> peer.unread > 0;
    private static final Predicate<Peer> RESTING = peer -> peer.state == State.RESTING;

    /** Open connections, the longest unused first. */
    private final Map<StreamConnection, Peer> connections = new LinkedHashMap<>();

    private final ByteBuffer scratch = ByteBuffer.allocate(8 * 1024);
    private final HttpOpenListener http;
    private long notAccepted;
    private boolean up;
    private boolean leaving;

    public ClientListener(
            XnioWorker worker,
            ByteBufferPool buffers,
            InetSocketAddress address,
            NodeClock clock,
            Set<String> opTypes,
            int shards,
            int mostConnections,
            QueryListener taker)
            throws IOException {
        this.io = worker.getIoThread();
        this.clock = clock;
        this.reader = new ClientQueryDecoder(opTypes, shards);
        this.taker = taker;
        this.mostConnections = mostConnections;
        http = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, (int) LONGEST / 4)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, UNUSED_MS)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false)
                        .getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::handle));
        ChannelListener<AcceptingChannel<StreamConnection>> accepting = this::accept;
        listening = worker.createStreamConnectionServer(
                address,
                accepting,
                OptionMap.builder()
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.BACKLOG, 1024)
                        // Danger: they are accepted elsewhere than turned out, and a crowd takes the last descriptor
                        // meanwhile.
                        .set(Options.CONNECTION_HIGH_WATER, mostConnections + mostConnections / 8 + 1)
                        .set(Options.CONNECTION_LOW_WATER, mostConnections + mostConnections / 8)
                        .getMap());
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalAddress();
    }

    /** From now on connections are accepted. */
    public void open() {
        listening.resumeAccepts();
    }

    /** From now on the node says that it is ready. */
    public void up() {
        up = true;
    }

    /** The node says no longer that it is ready; whoever comes all the same is served. */
    public void drain() {
        up = false;
    }

    /**
     * Each answer is the last of its connection, and resting ones end. Danger: a connection that the system has accepted
     * is reset with all that was sent on it if the listening socket goes before it was taken; so it goes last. What has
     * come on a resting one and is not read yet is read before, and answered.
     */
    public void shut() {
        leaving = true;
        io.executeAfter(() -> all(RESTING).toList().forEach(this::farewell), LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Nobody takes anything any more: whoever still asks is told at once to come back. */
    public void refuse() {
        shut();
        taker = new QueryListener() {
            @Override
            public void onQuery(ClientQuery ask, ClientRequest request) {
                request.answer(ClientResponse.pushedBack(0));
            }

            @Override
            public void onClientGone(ClientRequest request) {
                // Nothing is in hand for it.
            }
        };
    }

    /** With nobody connected, whoever came in this moment included: listens no longer. */
    public boolean ended() {
        accept(listening);
        if (connections.isEmpty()) {
            IoUtils.safeClose(listening);
        }
        return connections.isEmpty();
    }

    /** Nothing is written any more, and what its client still sends is thrown away. */
    private void farewell(StreamConnection connection) {
        Peer peer = connections.get(connection);
        if (peer != null && peer.state != State.CLOSING) {
            read(peer);
            peer.state = State.CLOSING;
            LingeringClose.begin(connection, peer.sink, peer.source, scratch);
        }
    }

    public void close() {
        IoUtils.safeClose(listening);
        connections.keySet().stream().toList().forEach(IoUtils::safeClose);
    }

    public int size() {
        return connections.size();
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                StreamConnection connection = next;
                if (Thread.currentThread() == connection.getIoThread()) {
                    accepted(connection);
                } else {
                    connection.getIoThread().execute(() -> accepted(connection));
                }
            }
        } catch (ClosedChannelException e) {
            LOG.log(System.Logger.Level.DEBUG, "listens no longer");
        } catch (IOException e) {
            // Danger: with no descriptor left this would be tried on and on; the longest unused makes room.
            io.execute(() -> {
                if (notAccepted++ == 0) {
                    LOG.log(System.Logger.Level.WARNING, "cannot accept a connection: " + e.getMessage());
                }
                StreamConnection unused = leastNeeded();
                if (unused != null) {
                    drop(unused);
                }
            });
        }
    }

    private void accepted(StreamConnection connection) {
        if (connections.size() >= mostConnections) {
            // Danger: clients' connections use up the descriptors that servers and discovery need.
            StreamConnection unused = leastNeeded();
            drop(unused == null ? connection : unused);
            if (unused == null) {
                return;
            }
        }
        Peer peer = new Peer();
        connections.put(connection, peer);
        peer.source = connection.getSourceChannel().getConduit();
        peer.sink = connection.getSinkChannel().getConduit();
        connection.getSourceChannel().setConduit(new Watched(peer.source, connection, peer));
        http.handleEvent(connection);
        ChannelListener<? super StreamConnection> theirs = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            forget(connection);
            ChannelListeners.invokeChannelListener(closed, theirs);
        });
        if (!connection.isOpen()) {
            forget(connection);
        } else if (!peer.known) {
            io.executeAfter(
                    () -> io.executeAfter(
                            () -> {
                                if (!peer.known && connections.get(connection) == peer) {
                                    drop(connection);
                                }
                            },
                            LOOK_MS,
                            TimeUnit.MILLISECONDS),
                    SILENT_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The connection of this kind that has been so the longest, or null. */
    private StreamConnection longest(Predicate<Peer> kind) {
        return all(kind).findFirst().orElse(null);
    }

    /** Danger: those that connect and say nothing would turn out the kept connections of those that ask. */
    private StreamConnection leastNeeded() {
        StreamConnection unknown = longest(UNKNOWN);
        return unknown != null ? unknown : longest(UNUSED);
    }

    private Stream<StreamConnection> all(Predicate<Peer> kind) {
        return connections.entrySet().stream()
                .filter(entry -> kind.test(entry.getValue()))
                .map(Map.Entry::getKey);
    }

    private void drop(StreamConnection connection) {
        forget(connection);
        IoUtils.safeClose(connection);
    }

    private void forget(StreamConnection connection) {
        read(connections.remove(connection));
    }

    private void handle(HttpServerExchange exchange) {
        StreamConnection connection = ClientRequest.channel(exchange);
        Peer peer = connections.get(connection);
        if (peer == null) {
            // Turned out while its request was on the way up.
            IoUtils.safeClose(connection);
            return;
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            read(peer);
            if (peer.state == State.CLOSING) {
                return;
            }
            if (((HttpServerConnection) ended.getConnection()).getExtraBytes() == null) {
                peer.state = State.RESTING;
            } else {
                begins(connection, peer);
            }
            if (connections.remove(connection, peer)) {
                connections.put(connection, peer);
            }
            if (leaving && peer.state == State.RESTING) {
                // Danger: its answer was on its way, as one of many, when the node began to end; nobody would end it.
                farewell(connection);
                return;
            }
            next.proceed();
        });
        if (peer.state == State.CLOSING) {
            // Danger: read on a connection that can no longer carry its answer, it must not be sent on.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        inTime(peer);
        peer.state = State.BODY;
        if (exchange.getRequestMethod().equals(Methods.GET)
                && exchange.getRequestPath().equals("/up")) {
            peer.known = true;
            peer.state = State.BUSY;
            if (leaving) {
                exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> send(exchange, ClientResponse.pushedBack(0), true));
            } else {
                exchange.setStatusCode(up ? 200 : 503);
                exchange.endExchange();
            }
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            long length = exchange.getRequestContentLength();
            if (length > LONGEST) {
                unusable(exchange, 413, "the body is too long");
                return;
            }
            // Danger: where the body ends is anybody's guess, and what one side takes for its rest the other takes
            // for a request. (Two lengths, and a length beside a coding, Undertow turns away by itself.)
            HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
            if (codings != null && !(codings.size() == 1 && codings.getFirst().equalsIgnoreCase("chunked"))) {
                unusable(exchange, 400, "a body comes with its length or in chunks");
                return;
            }
            exchange.setMaxEntitySize(LONGEST);
            long claim = length < 0 ? LONGEST : Math.min(length, LONGEST);
            // Danger: half-sent bodies fill the memory, and the node dies with all that it has in hand.
            for (StreamConnection half = longest(HALF_SENT);
                    unread + claim > mostUnread && half != null;
                    half = longest(HALF_SENT)) {
                drop(half);
            }
            peer.unread = claim;
            unread += claim;
            exchange.getRequestReceiver()
                    .receiveFullBytes((whole, body) -> received(whole, peer, body), (failed, e) -> {
                        read(peer);
                        IoUtils.safeClose(failed.getConnection());
                    });
            if (peer.unread > 0) {
                due(connection, peer, BODY_MS);
            }
        } else {
            unusable(exchange, 405, "POST a multiget, or GET /up");
        }
    }

    /** Its body is read, or never will be. */
    private void read(Peer peer) {
        if (peer != null) {
            unread -= peer.unread + peer.ahead;
            peer.unread = 0;
            peer.ahead = 0;
            inTime(peer);
        }
    }

    /** What is awaited of a client has come, or never will. */
    private static void inTime(Peer peer) {
        if (peer.due != null) {
            peer.due.remove();
            peer.due = null;
        }
    }

    /**
     * What is awaited of it next is to come within this time. Danger: of a process that stood still it may wait in the
     * socket, whole, and a close would lose a request that counts as taken; so the sockets are looked at once more.
     */
    private void due(StreamConnection connection, Peer peer, int withinMs) {
        inTime(peer);
        peer.due = io.executeAfter(
                () -> peer.due = io.executeAfter(() -> drop(connection), LOOK_MS, TimeUnit.MILLISECONDS),
                withinMs,
                TimeUnit.MILLISECONDS);
    }

    private void received(HttpServerExchange exchange, Peer peer, byte[] body) {
        read(peer);
        peer.state = State.BUSY;
        double atMs = clock.nowMs();
        try {
            ClientQuery ask = reader.read(exchange.getRequestPath(), exchange.getRequestHeaders(), body);
            ClientRequest request = new ClientRequest(this, exchange, ask.id(), atMs);
            peer.known = true;
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                request.watchClient();
                taker.onQuery(ask, request);
            });
        } catch (MalformedMessageException e) {
            unusable(exchange, 400, e.getMessage());
        }
    }

    /** Danger: behind a request that is none, what follows need not begin where a request does. */
    private void unusable(HttpServerExchange exchange, int status, String why) {
        // Danger: what the door ends itself, before its handler returns, Undertow ends once more, by a plain close.
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> send(exchange, ClientResponse.unusable(status, why), true));
    }

    /** For what has just been read; its content is whoever reads next's. */
    ByteBuffer buffer() {
        return scratch.clear();
    }

    /** Whether so many bytes may be kept for this client's next request. */
    boolean keeps(HttpServerExchange exchange, int bytes) {
        Peer peer = connections.get(ClientRequest.channel(exchange));
        boolean kept = peer != null && unread + bytes <= mostUnread;
        if (kept) {
            peer.ahead += bytes;
            unread += bytes;
        }
        return kept;
    }

    void onClientGone(ClientRequest request) {
        taker.onClientGone(request);
    }

    /** An answer, the last one of its connection where this is asked for, or the node ends. */
    void send(HttpServerExchange exchange, ClientResponse reply, boolean last) {
        StreamConnection connection = ClientRequest.channel(exchange);
        Peer peer = connections.get(connection);
        if (peer == null) {
            return;
        }
        peer.state = State.BUSY;
        // Danger: clients that never read hold a descriptor each, and a node that ends waits for them.
        due(connection, peer, UNREAD_ANSWER_MS);
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, reply.status() == 200 ? "application/json" : "text/plain");
        if (reply.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, reply.retryAfter());
        }
        if (!leaving && !last && exchange.isPersistent()) {
            exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()), IoCallback.END_EXCHANGE);
            return;
        }
        exchange.setPersistent(false);
        exchange.setResponseContentLength(reply.body().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange written, Sender sender) {
                farewell(connection);
            }

            @Override
            public void onException(HttpServerExchange broken, Sender sender, IOException e) {
                drop(connection);
            }
        });
    }
}
