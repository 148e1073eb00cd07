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
 * The open connections of clients, the longest unused first: how many there may be, how much memory what they have half sent may take,
 * and how long they may take for it. All of it runs on the I/O thread. Cost: an eviction goes over the connections that are in use.
 */
final class ClientConnections {
    private static final int HEAD_TIMEOUT_MS = 1500;
    /** Between two timers so far apart the I/O thread reads what is ready. */
    static final int POLL_DELAY_MS = 2;

    private static final int SCRATCH_BYTES = 8 * 1024;

    private final XnioIoThread io;
    private final int maxConnections;
    /** Most bytes of bodies that are still coming in, and how many these may become. */
    private final long maxBufferedBytes = Runtime.getRuntime().maxMemory() / 4;

    private long bufferedBytes;
    private final Map<StreamConnection, ClientConnection> connections = new LinkedHashMap<>();
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);

    ClientConnections(XnioIoThread io, int maxConnections) {
        this.io = io;
        this.maxConnections = maxConnections;
    }

    /** Sees that a request begins, which Undertow reports only once its head is complete. */
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

    /** The head of a request has begun to come. */
    void onRequestStart(ClientConnection client) {
        client.state = ClientConnection.State.HEAD;
        startTimeout(client, HEAD_TIMEOUT_MS);
    }

    /** Adds a connection, and sees from then on when a request begins on it. */
    ClientConnection add(StreamConnection channel) {
        ClientConnection client = new ClientConnection(channel);
        connections.put(channel, client);
        channel.getSourceChannel().setConduit(new RequestStartConduit(client));
        return client;
    }

    /** Makes room for a further connection; false where there is none, as all of them are in use. */
    boolean makeRoom() {
        return connections.size() < maxConnections || evict();
    }

    /**
     * Closes the connection that is needed least: one that has not asked yet, else the longest unused. In any other order those that
     * connect and send nothing would evict the connections of those that send requests.
     */
    boolean evict() {
        ClientConnection withoutRequest = first(ClientConnection::isEvictableWithoutRequest);
        ClientConnection candidate = withoutRequest != null ? withoutRequest : first(ClientConnection::isEvictable);
        if (candidate != null) {
            closeNow(candidate.channel);
        }
        return candidate != null;
    }

    private Stream<ClientConnection> matching(Predicate<ClientConnection> condition) {
        return connections.values().stream().filter(condition);
    }

    /** The one that is longest unused of those that meet the condition, or null. */
    private ClientConnection first(Predicate<ClientConnection> condition) {
        return matching(condition).findFirst().orElse(null);
    }

    /** The connection of this channel, or null where it is closed. */
    ClientConnection get(StreamConnection channel) {
        return connections.get(channel);
    }

    boolean contains(ClientConnection client) {
        return connections.get(client.channel) == client;
    }

    /** It has just been used, so that others make room first. */
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
     * Reserves memory for a body that begins to come in. Where there is none left, bodies that are half sent go first, the oldest ones:
     * they must not fill the memory, or the node dies with all that it has in flight.
     */
    void reserveBody(ClientConnection client, long bytes) {
        ClientConnection other = first(ClientConnection::isSendingBody);
        while (bufferedBytes + bytes > maxBufferedBytes && other != null) {
            closeNow(other.channel);
            other = first(ClientConnection::isSendingBody);
        }
        client.bodyBytes = bytes;
        bufferedBytes += bytes;
    }

    /** Reserves memory for bytes of the next request of a connection; false where there is none left. */
    boolean reservePipelined(StreamConnection channel, int bytes) {
        ClientConnection client = connections.get(channel);
        boolean reserved = client != null && bufferedBytes + bytes <= maxBufferedBytes;
        if (reserved) {
            client.pipelinedBytes += bytes;
            bufferedBytes += bytes;
        }
        return reserved;
    }

    /** What it has sent is read, or never will be. */
    void release(ClientConnection client) {
        bufferedBytes -= client.bodyBytes + client.pipelinedBytes;
        client.bodyBytes = 0;
        client.pipelinedBytes = 0;
        client.cancelTimeout();
    }

    /** For what has just been read; its content is whoever reads next's. */
    ByteBuffer scratchBuffer() {
        return scratch.clear();
    }

    // ---- Ends ----

    /**
     * What is awaited of its client next is to come within this time. Of a process that was paused it may wait in the socket, complete,
     * and a close would lose a request that counts as taken; so the sockets are read once more before that.
     */
    void startTimeout(ClientConnection client, int timeoutMs) {
        client.cancelTimeout();
        client.timeout = io.executeAfter(
                () -> client.timeout =
                        io.executeAfter(() -> closeNow(client.channel), POLL_DELAY_MS, TimeUnit.MILLISECONDS),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    }

    /** It is closed, by whomever. */
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

    /** Nothing more is written on it, and what its client still sends is discarded. */
    void closeGracefully(StreamConnection channel) {
        ClientConnection client = connections.get(channel);
        if (client != null && client.state != ClientConnection.State.CLOSING) {
            release(client);
            client.state = ClientConnection.State.CLOSING;
            LingeringClose.begin(channel, client.sink, client.source, scratch);
        }
    }

    void closeIdleGracefully() {
        matching(ClientConnection::isIdle).toList().forEach(client -> closeGracefully(client.channel));
    }

    void closeAll() {
        connections.keySet().stream().toList().forEach(IoUtils::safeClose);
    }
}
