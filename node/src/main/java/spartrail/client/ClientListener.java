package spartrail.client;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
 * Accepts clients' connections and hands their HTTP requests to {@link HttpRequestHandler}. All but the constructor and {@link #address}
 * runs on the I/O thread. States of a connection stand at {@link ClientConnection}.
 */
public final class ClientListener {
    private static final System.Logger LOG = System.getLogger("spartrail.client");

    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int ACCEPT_BACKLOG = 1024;
    /** The protocol closes a client without a complete request within 3 s of connecting; all timeouts together stay below that. */
    private static final int FIRST_REQUEST_TIMEOUT_MS = 2000;
    /** Idle connections stay open; this closes those whose clients left without a word. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private final XnioIoThread io;
    private final ClientConnections connections;
    private final HttpRequestHandler handler;
    private final HttpOpenListener httpListener;
    private final AcceptingChannel<StreamConnection> serverChannel;
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
        connections = new ClientConnections(io, maxConnections);
        handler = new HttpRequestHandler(connections, new ClientQueryDecoder(opTypes, shards), clock, queryListener);
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
        // Connections are accepted elsewhere than evicted; without a bound a crowd takes the last descriptor meanwhile.
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

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /** From now on connections are accepted. */
    public void startAccepting() {
        serverChannel.resumeAccepts();
    }

    /** From now on the node says that it is ready. */
    public void setReady() {
        handler.setReady(true);
    }

    /** The node says no longer that it is ready; whoever comes all the same is served. */
    public void setNotReady() {
        handler.setReady(false);
    }

    /**
     * Each response is the last of its connection, and idle ones end. The listening socket goes last, as a connection that the system
     * has accepted is reset with all that was sent on it if that socket goes before it was taken. What has come on an idle one and is
     * not read yet is read before, and answered.
     */
    public void beginShutdown() {
        handler.beginShutdown();
        io.executeAfter(connections::closeIdleGracefully, ClientConnections.POLL_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Shuts down; nobody takes queries any more, and whoever still asks is rejected at once. */
    public void rejectQueries() {
        beginShutdown();
        handler.rejectQueries();
    }

    /** With nobody connected, whoever came in this moment included, it listens no longer; whether that is so. */
    public boolean stopIfDisconnected() {
        accept(serverChannel);
        boolean isDisconnected = connections.count() == 0;
        if (isDisconnected) {
            IoUtils.safeClose(serverChannel);
        }
        return isDisconnected;
    }

    /** Closes everything at once. */
    public void close() {
        IoUtils.safeClose(serverChannel);
        connections.closeAll();
    }

    /** How many connections are open. */
    public int connectionCount() {
        return connections.count();
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
            // With no descriptor left this would be tried on and on; another connection makes room.
            io.execute(() -> onAcceptFailed(e));
        }
    }

    private void onAcceptFailed(IOException e) {
        if (acceptFailures == 0) {
            LOG.log(System.Logger.Level.WARNING, "cannot accept a connection: " + e.getMessage());
        }
        acceptFailures++;
        connections.evict();
    }

    private void onAccepted(StreamConnection connection) {
        if (!connections.makeRoom()) {
            // Clients' connections must not use up the descriptors that servers and discovery need.
            IoUtils.safeClose(connection);
            return;
        }
        ClientConnection client = connections.add(connection);
        httpListener.handleEvent(connection);
        ChannelListener<? super StreamConnection> undertowListener = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            connections.remove(connection);
            ChannelListeners.invokeChannelListener(closed, undertowListener);
        });
        if (!connection.isOpen()) {
            connections.remove(connection);
        } else if (!client.hasSentRequest) {
            startFirstRequestTimeout(client);
        }
    }

    /** Closes a connection without a request; a last time its socket is read before that, as it may have come during a pause. */
    private void startFirstRequestTimeout(ClientConnection client) {
        io.executeAfter(
                () -> io.executeAfter(
                        () -> closeWithoutRequest(client), ClientConnections.POLL_DELAY_MS, TimeUnit.MILLISECONDS),
                FIRST_REQUEST_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void closeWithoutRequest(ClientConnection client) {
        if (!client.hasSentRequest && connections.contains(client)) {
            connections.closeNow(client.channel);
        }
    }
}
