package spartrail.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A TCP connection on a {@link SocketLoop}. Subclasses override the {@code on...} callbacks, all of which run on the
 * loop's thread.
 *
 * <pre>
 * state        connect, adopt       readable        write              peer closes, error   close, reset
 * NEW          CONNECTING or OPEN   -               queued             -                    CLOSED
 * CONNECTING   -                    -               queued             CLOSED, onClosed     CLOSED
 * OPEN         -                    onBytes         written, onFlushed CLOSED, onClosed     CLOSED
 * CLOSED       -                    -               dropped            -                    -
 * </pre>
 */
public abstract class TcpConnection {
    /** When more than this is queued, the peer does not read, and the connection is closed. */
    private static final long MAX_UNWRITTEN_BYTES = 8L * 1024 * 1024;

    /** Limits the time for which one busy connection delays the others. */
    private static final int MAX_READS_PER_EVENT = 8;

    /** The loop of this connection; its thread runs all callbacks. */
    protected final SocketLoop loop;

    private final Deque<ByteBuffer> out = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private long unwrittenBytes;
    private boolean connected;
    private boolean reading = true;
    private boolean closed;

    /** Creates a connection that is not open yet. */
    protected TcpConnection(SocketLoop loop) {
        this.loop = loop;
    }

    /** The connection is established. */
    protected void onConnected() {}

    /** Bytes were read; the callee consumes all of them. */
    protected abstract void onBytes(ByteBuffer in);

    /** The peer closed the connection, or connecting failed; not called after {@link #close} or {@link #reset}. */
    protected abstract void onClosed(String reason);

    /** Everything that was queued has been written to the socket. */
    protected void onFlushed() {}

    /** Begins to connect; throws an IOException if no socket can be opened. */
    public final void connect(InetSocketAddress address) throws IOException {
        channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean isImmediate;
            try {
                isImmediate = channel.connect(address);
            } catch (IOException e) {
                // Refused at once: reported in the same way as a later refusal.
                isImmediate = false;
                closed = true;
                channel.close();
                loop.execute(() -> onClosed("connect: " + e.getMessage()));
                return;
            }
            key = loop.register(
                    channel, isImmediate ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this::handleEvent);
            if (isImmediate) {
                connected = true;
                loop.execute(this::onConnected);
            }
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Takes over an accepted connection. */
    public final void adopt(SocketChannel accepted) throws IOException {
        channel = accepted;
        connected = true;
        key = loop.register(channel, SelectionKey.OP_READ, this::handleEvent);
    }

    /** Whether neither side has closed the connection. */
    public final boolean isOpen() {
        return !closed;
    }

    /** The address of the peer, or null if the operating system no longer provides it. */
    public final InetSocketAddress peer() {
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException e) {
            return null;
        }
    }

    private void handleEvent(SelectionKey event) {
        try {
            if (event.isConnectable()) {
                channel.finishConnect();
                connected = true;
                updateInterest();
                onConnected();
                flush();
                return;
            }
            if (event.isWritable()) {
                flush();
            }
            if (!closed && event.isReadable()) {
                read();
            }
        } catch (IOException e) {
            closeAndNotify(e.getMessage() == null ? "broken" : e.getMessage());
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.buffer;
        for (int i = 0; i < MAX_READS_PER_EVENT && !closed && reading; i++) {
            buffer.clear();
            int count = channel.read(buffer);
            if (count < 0) {
                closeAndNotify("closed");
                return;
            }
            if (count == 0) {
                return;
            }
            buffer.flip();
            onBytes(buffer);
            if (count < buffer.capacity()) {
                return;
            }
        }
    }

    /** Queues these bytes and writes as many as the socket accepts now. */
    public final void write(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        out.add(bytes);
        unwrittenBytes += bytes.remaining();
        if (unwrittenBytes > MAX_UNWRITTEN_BYTES) {
            closeAndNotify("its peer does not read");
            return;
        }
        if (connected) {
            try {
                flush();
            } catch (IOException e) {
                // Deferred: otherwise the callback would run within the caller's call of this method.
                String reason = e.getMessage();
                loop.execute(() -> closeAndNotify(reason == null ? "broken" : reason));
            }
        }
    }

    private void flush() throws IOException {
        boolean hadOutput = !out.isEmpty();
        while (!out.isEmpty()) {
            ByteBuffer first = out.peek();
            unwrittenBytes -= channel.write(first);
            if (first.hasRemaining()) {
                updateInterest();
                return;
            }
            out.poll();
        }
        updateInterest();
        if (hadOutput) {
            onFlushed();
        }
    }

    /** Stops or resumes reading. */
    public final void pause(boolean paused) {
        reading = !paused;
        if (!closed && connected) {
            updateInterest();
        }
    }

    private void updateInterest() {
        if (key.isValid()) {
            key.interestOps((reading ? SelectionKey.OP_READ : 0) | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    private void closeAndNotify(String reason) {
        if (!closed) {
            close();
            onClosed(reason);
        }
    }

    /** Closes the connection without a callback. */
    public final void close() {
        closed = true;
        out.clear();
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // The channel is closed even if close() fails.
        }
    }

    /** Closes the connection with a TCP reset. */
    public final void reset() {
        try {
            if (!closed && channel != null) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // The connection is closed without a reset.
        }
        close();
    }
}
