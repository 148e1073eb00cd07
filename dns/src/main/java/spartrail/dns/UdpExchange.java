package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import spartrail.model.TimerQueue;

/**
 * A query in flight over UDP. It has a socket of its own, so the system assigns a random port. The exchange ends with
 * the response, a failure of the socket or the timeout. The resolver drops and counts datagrams that are not the
 * response.
 */
final class UdpExchange {
    private static final int MAX_DATAGRAM_BYTES = 4096;

    private final TransportLoop loop;
    private final DnsQuery query;
    private final DatagramChannel channel;
    private final TimerQueue.Timer timeout;

    /** Sends the query; throws an IOException if that is not possible. */
    static void start(TransportLoop loop, DnsQuery query) throws IOException {
        new UdpExchange(loop, query);
    }

    private UdpExchange(TransportLoop loop, DnsQuery query) throws IOException {
        this.loop = loop;
        this.query = query;
        this.channel = DatagramChannel.open();
        try {
            send();
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        this.timeout = loop.timers().schedule(loop.nowMs() + query.timeoutMs(), this::onTimeout);
    }

    private void send() throws IOException {
        channel.configureBlocking(false);
        // Not connected, so that datagrams from other addresses are received, counted and dropped.
        boolean isLocal = query.server().getAddress().isLoopbackAddress();
        channel.bind(new InetSocketAddress(isLocal ? "127.0.0.1" : "0.0.0.0", 0));
        channel.register(loop.selector(), SelectionKey.OP_READ, (Runnable) this::onReadable);
        channel.send(ByteBuffer.wrap(query.message()), query.server());
    }

    private void onTimeout() {
        close();
        loop.resolver().onTimeout(query, loop.nowMs());
    }

    private void onReadable() {
        try {
            receive();
        } catch (IOException e) {
            // For instance, the port is unreachable. Without this the query would fail later by its timeout.
            close();
            loop.resolver().onFailure(query, loop.nowMs());
        }
    }

    private void receive() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        while (from != null) {
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            if (loop.resolver().onResponse(query, bytes, from, loop.nowMs())) {
                close();
                return;
            }
            buffer.clear();
            from = (InetSocketAddress) channel.receive(buffer);
        }
    }

    private void close() {
        loop.timers().cancel(timeout);
        TransportLoop.close(channel);
    }
}
