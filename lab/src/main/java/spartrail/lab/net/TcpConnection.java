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
 * A TCP connection on a {@link SocketLoop}. Subclasses override the {@code on...} callbacks, all of which run on the loop's thread.
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
    /** A connection whose peer does not read is closed when more than this is queued. */
    private static final long MAX_UNWRITTEN_BYTES = 8L * 1024 * 1024;

    /** So that one busy connection does not hold up the others. */
    private static final int MAX_READS_PER_EVENT = 8;

    /** Owns this connection; its thread calls all callbacks. */
    protected final SocketLoop loop;

    private final Deque<ByteBuffer> out = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private long unwrittenBytes;
    private boolean connected;
    private boolean reading = true;
    private boolean closed;

    /** A connection that is not open yet. */
    protected TcpConnection(SocketLoop loop) {
        this.loop = loop;
    }

    /** The connection is established. */
    protected void onConnected() {}

    /** Bytes were read; the callee consumes all of them. */
    protected abstract void onBytes(ByteBuffer in);

    /** The peer closed it, or it was never established; not called after {@link #close} or {@link #reset}. */
    protected abstract void onClosed(String why);

    /** Everything that was queued has been written to the socket. */
    protected void onFlushed() {}

    /** Begins to connect; throws an IOException where no socket can be opened at all. */
    public final void connect(InetSocketAddress address) throws IOException {
        channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean immediate;
            try {
                immediate = channel.connect(address);
            } catch (IOException e) {
                // Refused at once: reported like a connection that is refused later.
                immediate = false;
                closed = true;
                channel.close();
                loop.execute(() -> onClosed("connect: " + e.getMessage()));
                return;
            }
            key = loop.register(channel, immediate ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this::ready);
            if (immediate) {
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
        key = loop.register(channel, SelectionKey.OP_READ, this::ready);
    }

    /** Whether neither side has closed it. */
    public final boolean isOpen() {
        return !closed;
    }

    /** The address of the other side, or null where the system does not know it any more. */
    public final InetSocketAddress peer() {
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException e) {
            return null;
        }
    }

    private void ready(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                channel.finishConnect();
                connected = true;
                updateInterest();
                onConnected();
                flush();
                return;
            }
            if (ready.isWritable()) {
                flush();
            }
            if (!closed && ready.isReadable()) {
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

    /** Queues these bytes and writes what the socket takes now. */
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
                // Later, as the callback would otherwise run inside the caller's own call of this method.
                String why = e.getMessage();
                loop.execute(() -> closeAndNotify(why == null ? "broken" : why));
            }
        }
    }

    private void flush() throws IOException {
        boolean any = !out.isEmpty();
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
        if (any) {
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

    private void closeAndNotify(String why) {
        if (!closed) {
            close();
            onClosed(why);
        }
    }

    /** Closes it without a callback. */
    public final void close() {
        closed = true;
        out.clear();
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** Closes it so that the peer sees a reset. */
    public final void reset() {
        try {
            if (!closed && channel != null) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // Closed without a reset.
        }
        close();
    }
}
