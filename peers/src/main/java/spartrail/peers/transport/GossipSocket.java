package spartrail.peers.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A node's datagram socket. Any thread may call {@link #send} and {@link #wakeUp}; all other methods are for the gossip
 * thread.
 */
final class GossipSocket implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 65_536;
    private static final int RECEIVE_BUFFER_BYTES = 512 * 1024;

    private final DatagramChannel channel;
    private final Selector selector;
    private final ByteBuffer received = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    private final AtomicLong sentDatagrams = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong failedSends = new AtomicLong();
    private long receivedDatagrams;

    GossipSocket(InetSocketAddress listen) throws IOException {
        selector = Selector.open();
        channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.bind(listen);
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            close();
            throw new IOException("cannot listen on " + listen + " for gossip: " + e.getMessage(), e);
        }
    }

    /** Waits until a datagram is available, {@link #wakeUp} is called, or the time has passed. */
    void await(long maxWaitMs) throws IOException {
        if (maxWaitMs <= 0) {
            selector.selectNow();
        } else {
            selector.select(maxWaitMs);
        }
        selector.selectedKeys().clear();
    }

    void wakeUp() {
        selector.wakeup();
    }

    /** Reads the next datagram into the buffer and returns its sender; returns null if none is available. */
    InetSocketAddress receive() throws IOException {
        received.clear();
        InetSocketAddress sender = (InetSocketAddress) channel.receive(received);
        if (sender != null) {
            received.flip();
            receivedDatagrams++;
        }
        return sender;
    }

    /** The buffer; the last received datagram begins at index 0 and is {@link #receivedLength} bytes long. */
    byte[] receivedBytes() {
        return received.array();
    }

    int receivedLength() {
        return received.limit();
    }

    void send(byte[] bytes, InetSocketAddress recipient) {
        try {
            channel.send(ByteBuffer.wrap(bytes), recipient);
            sentDatagrams.incrementAndGet();
            sentBytes.addAndGet(bytes.length);
        } catch (IOException e) {
            // Not reported to the caller: the gossip protocol tolerates the loss of datagrams in any case.
            failedSends.incrementAndGet();
        }
    }

    /** Adds this socket's counters, under their labels in replies to operators. */
    void addCountersTo(Map<String, Long> counters) {
        counters.put("datagrams received", receivedDatagrams);
        counters.put("datagrams sent", sentDatagrams.get());
        counters.put("datagrams not sent", failedSends.get());
        counters.put("bytes sent", sentBytes.get());
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }
}
