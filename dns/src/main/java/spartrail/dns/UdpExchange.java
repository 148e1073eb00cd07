package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import spartrail.model.TimerQueue;

/**
 * A query in flight over UDP, on a socket of its own and so from a port drawn by the system. It ends with the response, a failure
 * of the socket or the timeout; what is no response to the query is left to the resolver to drop and count.
 */
final class UdpExchange {
    private static final int MAX_DATAGRAM_BYTES = 4096;

    private final TransportLoop loop;
    private final DnsQuery query;
    private final DatagramChannel channel;
    private final TimerQueue.Timer timeout;

    /** Sends the query; an IOException where that is not possible. */
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
        // Not connected: what comes from elsewhere is to be seen, counted and dropped.
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
            // No such port, for instance: the timeout would find the same later.
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
