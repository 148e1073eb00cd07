package spartrail.client;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import spartrail.model.NodeClock;

/**
 * Accepts clients' connections and hands their HTTP requests to {@link HttpRequestHandler}. Everything but the
 * constructor and {@link #address} runs on the I/O thread. {@link ClientConnection} has the states of a connection.
 */
public final class ClientListener {
    private static final System.Logger LOG = System.getLogger("spartrail.client");

    static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int ACCEPT_BACKLOG = 1024;
    /** Idle connections stay open for this long, so that those whose clients vanished without a close end, too. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private final XnioIoThread io;
    private final PollBarrier pollBarrier;
    private final PollMonitor pollMonitor;
    private final ClientCounters counters = new ClientCounters();
    private final ClientConnections connections;
    private final HttpRequestHandler handler;
    private final HttpOpenListener httpListener;
    private final AcceptingChannel<StreamConnection> serverChannel;
    /** Accepted connections that the I/O thread has not taken over yet. */
    private final Queue<StreamConnection> accepted = new ConcurrentLinkedQueue<>();

    /** Read by the thread that accepts connections. */
    private volatile boolean isClosed;

    private int takeoversSincePoll;
    private boolean isPollAwaited;
    private long acceptFailures;

    /** Binds the address; connections are accepted from {@link #startAccepting} on. */
    public ClientListener(
            XnioWorker worker,
            ByteBufferPool buffers,
            InetSocketAddress address,
            NodeClock clock,
            Set<String> opTypes,
            int shards,
            int maxConnections,
            ClientQueryListener queryListener)
            throws IOException {
        io = worker.getIoThread();
        pollBarrier = new PollBarrier(io);
        pollMonitor = new PollMonitor(io, pollBarrier, clock, counters);
        connections = new ClientConnections(io, pollBarrier, clock, maxConnections, counters);
        handler = new HttpRequestHandler(
                connections, new ClientQueryDecoder(opTypes, shards), clock, queryListener, counters);
        httpListener = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false)
                        .getMap());
        httpListener.setRootHandler(new HttpContinueReadHandler(handler));
        ChannelListener<AcceptingChannel<StreamConnection>> acceptListener = this::accept;
        // Other threads accept connections than the I/O thread, which evicts them. Without this bound, a burst of
        // connections could take the last descriptors before the I/O thread evicts any.
        int maxAccepted = maxConnections + maxConnections / 8;
        serverChannel = worker.createStreamConnectionServer(
                address,
                acceptListener,
                OptionMap.builder()
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.BACKLOG, ACCEPT_BACKLOG)
                        .set(Options.CONNECTION_HIGH_WATER, maxAccepted + 1)
                        .set(Options.CONNECTION_LOW_WATER, maxAccepted)
                        .getMap());
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /** Counts what became of clients' connections and requests. */
    public ClientCounters counters() {
        return counters;
    }

    /** Starts accepting connections. */
    public void startAccepting() {
        serverChannel.resumeAccepts();
    }

    /** Makes {@code GET /up} report the node as ready. */
    public void setReady() {
        handler.setReady(true);
    }

    /** Makes {@code GET /up} report the node as not ready; queries are still served. */
    public void setNotReady() {
        handler.setReady(false);
    }

    /**
     * Begins the shutdown: from now on each response closes its connection, and idle connections are closed. Unread
     * requests on idle connections are read before that, and answered. The listening socket stays open until the end:
     * closing it would reset the connections that the system has established and that this listener has not accepted
     * yet.
     */
    public void beginShutdown() {
        handler.beginShutdown();
        pollBarrier.afterPoll(connections::closeIdleGracefully);
    }

    /** Begins the shutdown, and rejects all further queries at once. */
    public void rejectQueries() {
        beginShutdown();
        handler.rejectQueries();
    }

    /**
     * Closes the listening socket if no client is connected, after it has accepted pending connections; returns whether
     * so.
     */
    public boolean stopIfDisconnected() {
        accept(serverChannel);
        boolean isDisconnected = connections.count() == 0 && accepted.isEmpty();
        if (isDisconnected) {
            IoUtils.safeClose(serverChannel);
        }
        return isDisconnected;
    }

    /** Closes everything at once. */
    public void close() {
        isClosed = true;
        IoUtils.safeClose(serverChannel);
        closeAccepted();
        connections.closeAll();
        pollMonitor.close();
        pollBarrier.close();
    }

    /** Closes the connections that were accepted and not taken over. */
    private void closeAccepted() {
        for (StreamConnection next = accepted.poll(); next != null; next = accepted.poll()) {
            IoUtils.safeClose(next);
        }
    }

    /** The number of open connections. */
    public int connectionCount() {
        return connections.count();
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                accepted.add(next);
            }
        } catch (ClosedChannelException e) {
            LOG.log(System.Logger.Level.DEBUG, "the listening socket is closed; no connections are accepted any more");
        } catch (IOException e) {
            // Without a free descriptor the accept would fail again and again, so a connection is evicted to free one.
            io.execute(() -> onAcceptFailed(e));
        }
        if (isClosed) {
            closeAccepted();
        } else if (!accepted.isEmpty()) {
            io.execute(this::takeOverAccepted);
        }
    }

    private void takeOverAccepted() {
        boolean hasRoom = true;
        while (hasRoom && connections.mayTakeOver(takeoversSincePoll) && !accepted.isEmpty()) {
            hasRoom = connections.makeRoom();
            if (hasRoom) {
                takeoversSincePoll++;
                onAccepted(accepted.remove());
            }
        }
        if (!hasRoom && !connections.mayGetRoom()) {
            // The descriptors left are needed for connections to servers and to discovery.
            closeAccepted();
        }
        if ((takeoversSincePoll > 0 || !accepted.isEmpty()) && !isPollAwaited) {
            isPollAwaited = true;
            pollBarrier.afterPoll(this::onPolled);
        }
    }

    private void onPolled() {
        isPollAwaited = false;
        takeoversSincePoll = 0;
        takeOverAccepted();
    }

    private void onAcceptFailed(IOException e) {
        if (acceptFailures == 0) {
            LOG.log(System.Logger.Level.WARNING, "cannot accept a connection: " + e.getMessage());
        }
        acceptFailures++;
        connections.evict();
    }

    private void onAccepted(StreamConnection connection) {
        ClientConnection client = connections.add(connection);
        httpListener.handleEvent(connection);
        ChannelListener<? super StreamConnection> undertowListener = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            connections.onClosed(connection);
            ChannelListeners.invokeChannelListener(closed, undertowListener);
        });
        if (!connection.isOpen()) {
            connections.onClosed(connection);
        } else if (!client.hasSentRequest) {
            connections.startFirstRequestTimeout(client);
        }
    }
}
