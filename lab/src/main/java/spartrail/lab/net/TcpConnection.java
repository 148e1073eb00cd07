package spartrail.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** A TCP connection on a {@link SocketLoop}. What it hears it tells by the methods that its user overrides. */
public abstract class TcpConnection {
    /** Most that waits to be written; a peer that never reads is closed. */
    private static final long MOST_UNWRITTEN = 8L * 1024 * 1024;

    protected final SocketLoop loop;
    private final Deque<ByteBuffer> out = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private long unwritten;
    private boolean up;
    private boolean reading = true;
    private boolean over;

    protected TcpConnection(SocketLoop loop) {
        this.loop = loop;
    }

    /** The connection is up. */
    protected void onConnected() {}

    /** Bytes have come; all of them are to be taken. */
    protected abstract void onBytes(ByteBuffer in);

    /** The other side ended it, or it never came up; not called after {@link #close} or {@link #reset}. */
    protected abstract void onClosed(String why);

    /** All that was given to be written has been handed to the system. */
    protected void onFlushed() {}

    /** Begins to connect. An IOException tells that no socket is to be had at all. */
    public final void connect(InetSocketAddress address) throws IOException {
        channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean atOnce;
            try {
                atOnce = channel.connect(address);
            } catch (IOException e) {
                // Refused at once: told like one that is refused a little later.
                atOnce = false;
                over = true;
                channel.close();
                loop.execute(() -> onClosed("connect: " + e.getMessage()));
                return;
            }
            key = loop.register(channel, atOnce ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this::ready);
            if (atOnce) {
                up = true;
                loop.execute(this::onConnected);
            }
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Takes over a connection that was accepted. */
    public final void adopt(SocketChannel accepted) throws IOException {
        channel = accepted;
        up = true;
        key = loop.register(channel, SelectionKey.OP_READ, this::ready);
    }

    public final boolean isOpen() {
        return !over;
    }

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
                up = true;
                updateInterest();
                onConnected();
                flush();
                return;
            }
            if (ready.isWritable()) {
                flush();
            }
            if (!over && ready.isReadable()) {
                read();
            }
        } catch (IOException e) {
            closeAndNotify(e.getMessage() == null ? "broken" : e.getMessage());
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.buffer;
        for (int i = 0; i < 8 && !over && reading; i++) {
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

    public final void write(ByteBuffer bytes) {
        if (over) {
            return;
        }
        out.add(bytes);
        unwritten += bytes.remaining();
        if (unwritten > MOST_UNWRITTEN) {
            closeAndNotify("its peer does not read");
            return;
        }
        if (up) {
            try {
                flush();
            } catch (IOException e) {
                // Danger: told at once, its user would be called from within its own call.
                String why = e.getMessage();
                loop.execute(() -> closeAndNotify(why == null ? "broken" : why));
            }
        }
    }

    private void flush() throws IOException {
        boolean any = !out.isEmpty();
        while (!out.isEmpty()) {
            ByteBuffer first = out.peek();
            unwritten -= channel.write(first);
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

    /** Reads no more until it is told to. */
    public final void pause(boolean paused) {
        reading = !paused;
        if (!over && up) {
            updateInterest();
        }
    }

    private void updateInterest() {
        if (key.isValid()) {
            key.interestOps((reading ? SelectionKey.OP_READ : 0) | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    private void closeAndNotify(String why) {
        if (!over) {
            close();
            onClosed(why);
        }
    }

    public final void close() {
        over = true;
        out.clear();
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** Ends it so that the other side sees a reset. */
    public final void reset() {
        try {
            if (!over && channel != null) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // Closed without one.
        }
        close();
    }
}
