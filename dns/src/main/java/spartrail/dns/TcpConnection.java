package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spartrail.model.TimerQueue;

/**
 * A TCP connection to a name server, with the queries in flight on it.
 *
 * <pre>
 * state        event                                  next
 * connecting   connected                              open; the waiting queries are written
 * open         a response                             open; idle if no query is in flight any more
 * open         the last query in flight times out     closed: the server may have dropped more than this query
 * idle         a query                                open
 * idle         {@link #MAX_IDLE_MS} have passed       closed
 * any          refused, broken, closed by the server  closed; every query in flight fails
 * </pre>
 */
final class TcpConnection {
    private static final double MAX_IDLE_MS = 5000;
    private static final int LENGTH_BYTES = 2;
    private static final int ID_BYTES = 2;
    private static final int NO_ID = -1;

    /** A query in flight and its timeout. */
    private record InFlight(DnsQuery query, TimerQueue.Timer timeout) {}

    private final TransportLoop loop;
    private final InetSocketAddress server;
    private final Consumer<TcpConnection> onClosed;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final Map<Integer, InFlight> inFlight = new HashMap<>();
    private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
    private ByteBuffer input = ByteBuffer.allocate(LENGTH_BYTES);
    private boolean isReadingLength = true;
    private boolean isConnected;
    private TimerQueue.Timer idleTimeout;

    /** Starts to connect; throws an IOException if that is not possible. */
    TcpConnection(TransportLoop loop, InetSocketAddress server, Consumer<TcpConnection> onClosed) throws IOException {
        this.loop = loop;
        this.server = server;
        this.onClosed = onClosed;
        this.channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            isConnected = channel.connect(server);
            int interest = isConnected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
            key = channel.register(loop.selector(), interest, (Runnable) this::onReady);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    InetSocketAddress server() {
        return server;
    }

    /** Whether a query with this id is in flight; the responses to two queries with one id could not be told apart. */
    boolean hasInFlight(int id) {
        return inFlight.containsKey(id);
    }

    void send(DnsQuery query) {
        TimerQueue.Timer timeout = loop.timers().schedule(loop.nowMs() + query.timeoutMs(), () -> onTimeout(query));
        inFlight.put(query.id(), new InFlight(query, timeout));
        int length = query.message().length;
        unwritten.add(ByteBuffer.allocate(LENGTH_BYTES + length)
                .putShort((short) length)
                .put(query.message())
                .flip());
        if (isConnected) {
            write();
        }
    }

    private void onTimeout(DnsQuery query) {
        inFlight.remove(query.id());
        loop.resolver().onTimeout(query, loop.nowMs());
        if (inFlight.isEmpty()) {
            close();
        }
    }

    private void onReady() {
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                isConnected = true;
                key.interestOps(SelectionKey.OP_READ);
                write();
                return;
            }
            if (key.isWritable()) {
                write();
            }
            if (key.isValid() && key.isReadable()) {
                read();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void write() {
        try {
            while (!unwritten.isEmpty()) {
                channel.write(unwritten.peek());
                if (unwritten.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                unwritten.poll();
            }
            key.interestOps(SelectionKey.OP_READ);
        } catch (IOException e) {
            close();
        }
    }

    private void read() throws IOException {
        while (true) {
            int count = channel.read(input);
            if (count < 0) {
                close();
                return;
            }
            if (input.hasRemaining()) {
                return;
            }
            input.flip();
            if (isReadingLength) {
                // The length has two octets, so no response exceeds 64 KiB.
                input = ByteBuffer.allocate(Math.max(1, Short.toUnsignedInt(input.getShort())));
                isReadingLength = false;
            } else {
                byte[] message = input.array();
                input = ByteBuffer.allocate(LENGTH_BYTES);
                isReadingLength = true;
                onMessage(message);
            }
        }
    }

    private void onMessage(byte[] message) {
        InFlight answered = inFlight.get(readId(message));
        if (answered != null && loop.resolver().onResponse(answered.query(), message, server, loop.nowMs())) {
            inFlight.remove(answered.query().id());
            loop.timers().cancel(answered.timeout());
        }
        if (inFlight.isEmpty() && idleTimeout == null) {
            idleTimeout = loop.timers().schedule(loop.nowMs() + MAX_IDLE_MS, this::onIdle);
        }
    }

    private static int readId(byte[] message) {
        if (message.length < ID_BYTES) {
            return NO_ID;
        }
        return Short.toUnsignedInt(ByteBuffer.wrap(message).getShort());
    }

    private void onIdle() {
        idleTimeout = null;
        if (inFlight.isEmpty()) {
            close();
        }
    }

    private void close() {
        onClosed.accept(this);
        if (idleTimeout != null) {
            loop.timers().cancel(idleTimeout);
        }
        TransportLoop.close(channel);
        List<InFlight> failed = List.copyOf(inFlight.values());
        inFlight.clear();
        failed.forEach(entry -> loop.timers().cancel(entry.timeout()));
        failed.forEach(entry -> loop.resolver().onFailure(entry.query(), loop.nowMs()));
    }
}
