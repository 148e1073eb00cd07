package spartrail.client;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
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
import spartrail.model.NodeClock;

/** Where clients connect: HTTP requests in, final answers out. All but the constructor runs on the I/O thread. */
public final class ClientDoor {
    /** Who takes what clients ask. */
    public interface Taker {
        void asked(Ask ask, ClientRequest request);

        void gone(ClientRequest request);
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

    private final XnioIoThread io;
    private final NodeClock clock;
    private final AskReader reader;
    private final Taker taker;
    private final int mostConnections;
    /** Most bytes of bodies that are still coming in, and how many these may become. */
    private final long mostUnread = Runtime.getRuntime().maxMemory() / 4;
    private long unread;
    private final AcceptingChannel<StreamConnection> listening;
    /** A client's connection. */
    private static final class Peer {
        /** A request of it has been read and is not answered. */
        boolean busy;
        /** A whole request of it has been read, now or earlier. */
        boolean known;
        /** What its body, still coming in, may take, and when that has lasted too long. */
        long unread;
        XnioExecutor.Key lateBody;
    }

    /** With no request in hand, whether one is half sent or none. */
    private static final Predicate<Peer> UNUSED = peer -> !peer.busy;
    /** It has not asked anything yet. */
    private static final Predicate<Peer> UNKNOWN = peer -> !peer.busy && !peer.known;
    private static final Predicate<Peer> HALF_SENT = peer -> peer.unread > 0;

    /** Open connections, the longest unused first. */
    private final Map<StreamConnection, Peer> connections = new LinkedHashMap<>();
    private final HttpOpenListener http;
    private long notAccepted;
    private boolean up;
    private boolean leaving;

    public ClientDoor(XnioWorker worker, ByteBufferPool buffers, InetSocketAddress address, NodeClock clock,
            Set<String> opTypes, int shards, int mostConnections, Taker taker) throws IOException {
        this.io = worker.getIoThread();
        this.clock = clock;
        this.reader = new AskReader(opTypes, shards);
        this.taker = taker;
        this.mostConnections = mostConnections;
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, (int) LONGEST / 4)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, UNUSED_MS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MS)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false).getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::handle));
        ChannelListener<AcceptingChannel<StreamConnection>> accepting = this::accept;
        listening = worker.createStreamConnectionServer(address, accepting, OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true).set(Options.TCP_NODELAY, true).set(Options.BACKLOG, 1024)
                // Danger: they are accepted elsewhere than turned out, and a crowd takes the last descriptor meanwhile.
                .set(Options.CONNECTION_HIGH_WATER, mostConnections + mostConnections / 8 + 1)
                .set(Options.CONNECTION_LOW_WATER, mostConnections + mostConnections / 8).getMap());
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

    /** Nothing new comes in: no connection is accepted, unused ones are closed, each answer is the last. */
    public void shut() {
        leaving = true;
        IoUtils.safeClose(listening);
        all(UNUSED.and(HALF_SENT.negate())).toList().forEach(this::drop);
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
        http.handleEvent(connection);
        ChannelListener<? super StreamConnection> theirs = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            forget(connection);
            ChannelListeners.invokeChannelListener(closed, theirs);
        });
        if (!connection.isOpen()) {
            forget(connection);
        } else if (!peer.known) {
            io.executeAfter(() -> {
                if (!peer.known && connections.get(connection) == peer) {
                    drop(connection);
                }
            }, SILENT_MS, TimeUnit.MILLISECONDS);
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
        return connections.entrySet().stream().filter(entry -> kind.test(entry.getValue())).map(Map.Entry::getKey);
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
            peer.busy = false;
            if (connections.remove(connection, peer)) {
                connections.put(connection, peer);
            }
            next.proceed();
        });
        if (leaving) {
            exchange.setPersistent(false);
        }
        if (exchange.getRequestMethod().equals(Methods.GET) && exchange.getRequestPath().equals("/up")) {
            peer.known = true;
            exchange.setStatusCode(up ? 200 : 503);
            exchange.endExchange();
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
            for (StreamConnection half = longest(HALF_SENT); unread + claim > mostUnread && half != null;
                    half = longest(HALF_SENT)) {
                drop(half);
            }
            peer.unread = claim;
            unread += claim;
            exchange.getRequestReceiver().receiveFullBytes((whole, body) -> received(whole, peer, body), (failed, e) -> {
                read(peer);
                IoUtils.safeClose(failed.getConnection());
            });
            if (peer.unread > 0) {
                peer.lateBody = io.executeAfter(() -> drop(connection), BODY_MS, TimeUnit.MILLISECONDS);
            }
        } else {
            unusable(exchange, 405, "POST a multiget, or GET /up");
        }
    }

    /** Its body is read, or never will be. */
    private void read(Peer peer) {
        if (peer != null) {
            unread -= peer.unread;
            peer.unread = 0;
            if (peer.lateBody != null) {
                peer.lateBody.remove();
                peer.lateBody = null;
            }
        }
    }

    private void received(HttpServerExchange exchange, Peer peer, byte[] body) {
        read(peer);
        double atMs = clock.nowMs();
        try {
            Ask ask = reader.read(exchange.getRequestPath(), exchange.getRequestHeaders(), body);
            ClientRequest request = new ClientRequest(this, exchange, atMs);
            peer.busy = true;
            peer.known = true;
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                request.watchClient();
                taker.asked(ask, request);
            });
        } catch (AskReader.BadRequest e) {
            unusable(exchange, 400, e.getMessage());
        }
    }

    /** Danger: behind a request that is none, what follows need not begin where a request does. */
    private void unusable(HttpServerExchange exchange, int status, String why) {
        exchange.setPersistent(false);
        send(exchange, Reply.unusable(status, why));
    }

    void gone(ClientRequest request) {
        taker.gone(request);
    }

    void send(HttpServerExchange exchange, Reply reply) {
        if (leaving) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE,
                reply.status() == 200 ? "application/json" : "text/plain");
        if (reply.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, reply.retryAfter());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()), IoCallback.END_EXCHANGE);
    }
}
