package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The open connections of clients, the longest unused first. Limits their number, the memory of incomplete requests,
 * and the time for sending a request. Runs on the I/O thread only. Cost: an eviction is at most linear in the open
 * connections.
 */
final class ClientConnections {
    private static final int HEAD_TIMEOUT_MS = 1500;
    /** The I/O thread reads all ready sockets between two timers that are at least this far apart. */
    static final int POLL_DELAY_MS = 2;

    private static final int SCRATCH_BYTES = 8 * 1024;

    private final XnioIoThread io;
    private final int maxConnections;
    /** The most bytes that incomplete bodies, counted with their full lengths, and buffered requests may take. */
    private final long maxBufferedBytes = Runtime.getRuntime().maxMemory() / 4;

    private long bufferedBytes;
    private final Map<StreamConnection, ClientConnection> connections = new LinkedHashMap<>();
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);

    ClientConnections(XnioIoThread io, int maxConnections) {
        this.io = io;
        this.maxConnections = maxConnections;
    }

    /** Detects the first byte of a request, as Undertow reports a request only once its head is complete. */
    private final class RequestStartConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final ClientConnection client;

        RequestStartConduit(ClientConnection client) {
            super(client.source);
            this.client = client;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            int count = super.read(into);
            boolean awaitsRequest = client.state == ClientConnection.State.NEW || client.isIdle();
            if (count > 0 && awaitsRequest) {
                onRequestStart(client);
            }
            return count;
        }
    }

    /** Called when the first bytes of a request's head were received. */
    void onRequestStart(ClientConnection client) {
        client.state = ClientConnection.State.HEAD;
        startTimeout(client, HEAD_TIMEOUT_MS);
    }

    /** Adds a connection, and installs the conduit that detects the start of requests. */
    ClientConnection add(StreamConnection channel) {
        ClientConnection client = new ClientConnection(channel);
        connections.put(channel, client);
        channel.getSourceChannel().setConduit(new RequestStartConduit(client));
        return client;
    }

    /** Makes room for a further connection; false if there is none, as all connections have requests in flight. */
    boolean makeRoom() {
        return connections.size() < maxConnections || evict();
    }

    /**
     * Closes one connection: the oldest that has not sent a complete request, else the longest unused. In any other
     * order, clients that connect and send nothing would evict the connections of those that send requests.
     */
    boolean evict() {
        ClientConnection withoutRequest = findFirst(ClientConnection::isEvictableWithoutRequest);
        ClientConnection candidate = withoutRequest != null ? withoutRequest : findFirst(ClientConnection::isEvictable);
        if (candidate != null) {
            closeNow(candidate.channel);
        }
        return candidate != null;
    }

    private Stream<ClientConnection> filter(Predicate<ClientConnection> condition) {
        return connections.values().stream().filter(condition);
    }

    /** The longest unused connection that meets the condition, or null. */
    private ClientConnection findFirst(Predicate<ClientConnection> condition) {
        return filter(condition).findFirst().orElse(null);
    }

    /** The connection of this channel, or null if it is closed. */
    ClientConnection get(StreamConnection channel) {
        return connections.get(channel);
    }

    boolean contains(ClientConnection client) {
        return connections.get(client.channel) == client;
    }

    /** Marks a connection as just used, so that others are evicted before it. */
    void markUsed(ClientConnection client) {
        if (connections.remove(client.channel, client)) {
            connections.put(client.channel, client);
        }
    }

    int count() {
        return connections.size();
    }

    // ---- Memory ----

    /**
     * Reserves memory for a body that is about to be received. If there is not enough, closes connections with
     * incomplete bodies, the longest unused first: filling the heap would end the node with all its requests in flight.
     */
    void reserveBody(ClientConnection client, long bytes) {
        ClientConnection other = findFirst(ClientConnection::isSendingBody);
        while (bufferedBytes + bytes > maxBufferedBytes && other != null) {
            closeNow(other.channel);
            other = findFirst(ClientConnection::isSendingBody);
        }
        client.bodyBytes = bytes;
        bufferedBytes += bytes;
    }

    /** Reserves memory for bytes of the next request of a connection; false if there is not enough. */
    boolean reservePipelined(StreamConnection channel, int bytes) {
        ClientConnection client = connections.get(channel);
        boolean reserved = client != null && bufferedBytes + bytes <= maxBufferedBytes;
        if (reserved) {
            client.pipelinedBytes += bytes;
            bufferedBytes += bytes;
        }
        return reserved;
    }

    /** Releases the memory of a connection's bodies and buffered requests, and ends its timeout. */
    void release(ClientConnection client) {
        bufferedBytes -= client.bodyBytes + client.pipelinedBytes;
        client.bodyBytes = 0;
        client.pipelinedBytes = 0;
        client.cancelTimeout();
    }

    /** A buffer for the bytes of one read, shared by all connections: the next read overwrites its content. */
    ByteBuffer scratchBuffer() {
        return scratch.clear();
    }

    // ---- Ends ----

    /**
     * Closes the connection if the client's next step takes longer than this time. After a pause of the process, a
     * complete request may be unread in the socket, and closing would lose it although it counts as received; so the
     * sockets are read once more before the close.
     */
    void startTimeout(ClientConnection client, int timeoutMs) {
        client.cancelTimeout();
        client.timeout = io.executeAfter(
                () -> client.timeout =
                        io.executeAfter(() -> closeNow(client.channel), POLL_DELAY_MS, TimeUnit.MILLISECONDS),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    }

    /** Removes a connection that has been closed, by either side. */
    void remove(StreamConnection channel) {
        ClientConnection client = connections.remove(channel);
        if (client != null) {
            release(client);
        }
    }

    void closeNow(StreamConnection channel) {
        remove(channel);
        IoUtils.safeClose(channel);
    }

    /**
     * Closes a connection after its last response was written; bytes that its client still sends are discarded.
     */
    void closeGracefully(StreamConnection channel) {
        ClientConnection client = connections.get(channel);
        if (client != null && client.state != ClientConnection.State.CLOSING) {
            release(client);
            client.state = ClientConnection.State.CLOSING;
            LingeringClose.begin(channel, client.sink, client.source, scratch);
        }
    }

    void closeIdleGracefully() {
        filter(ClientConnection::isIdle).toList().forEach(client -> closeGracefully(client.channel));
    }

    void closeAll() {
        connections.keySet().stream().toList().forEach(IoUtils::safeClose);
    }
}
