package spartrail.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;

/**
 * A TCP load balancer in front of the front nodes. It assigns clients' connections in turn to the nodes whose
 * {@code /up} answers 200, and relays their bytes. As real load balancers do, it notices changes late: a node that has
 * stopped still gets connections for a while.
 */
public final class FrontLayer implements AutoCloseable {
    private static final double PROBE_INTERVAL_MS = 200;

    /** A front node and its readiness as last accepted. */
    private static final class Node {
        private final InetSocketAddress address;
        private boolean ready;
        /** Since when probes have disagreed with {@link #ready}; 0 while they agree. */
        private double differsSinceMs;

        Node(InetSocketAddress address) {
            this.address = address;
        }
    }

    /** One of the two connections of a relayed client; bytes read here are written to the opposite one. */
    private static final class Relay extends TcpConnection {
        private Relay opposite;
        private long passed;

        Relay(SocketLoop loop) {
            super(loop);
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            passed += in.remaining();
            ByteBuffer copy = ByteBuffer.allocate(in.remaining()).put(in).flip();
            opposite.write(copy);
        }

        @Override
        protected void onClosed(String reason) {
            // A reset is relayed as a reset: the client has to notice that its answer is truncated.
            if (reason.equals("closed")) {
                loop.schedule(loop.nowMs() + 1, opposite::close);
            } else {
                opposite.reset();
            }
        }
    }

    private final SocketLoop loop;
    private final double noticeMs;
    private final List<Node> nodes = new ArrayList<>();
    private final ServerSocketChannel listening;
    private long turn;
    private boolean closed;

    /**
     * Listens on a loopback port (0 picks a free one). A change of a node's readiness takes effect once probes have
     * shown it for {@code noticeMs}.
     */
    public FrontLayer(SocketLoop loop, int port, List<InetSocketAddress> addresses, double noticeMs)
            throws IOException {
        this.loop = loop;
        this.noticeMs = noticeMs;
        addresses.forEach(address -> nodes.add(new Node(address)));
        this.listening = loop.listen(new InetSocketAddress("127.0.0.1", port), 4096, this::forward);
        loop.execute(() -> nodes.forEach(this::probe));
    }

    public int port() {
        return listening.socket().getLocalPort();
    }

    private void forward(SocketChannel channel) {
        Relay client = new Relay(loop);
        Relay server = new Relay(loop);
        client.opposite = server;
        server.opposite = client;
        try {
            client.adopt(channel);
            Node node = nextReadyNode();
            if (node == null) {
                client.reset();
            } else {
                server.connect(node.address);
            }
        } catch (IOException e) {
            client.reset();
        }
    }

    /** The next ready node in turn, or null if no node is ready. */
    private Node nextReadyNode() {
        List<Node> ready = nodes.stream().filter(node -> node.ready).toList();
        return ready.isEmpty() ? null : ready.get((int) (turn++ % ready.size()));
    }

    private void probe(Node node) {
        if (closed) {
            return;
        }
        boolean[] isReported = new boolean[1];
        TcpConnection connection = new TcpConnection(loop) {
            @Override
            protected void onBytes(ByteBuffer in) {
                byte[] bytes = new byte[Math.min(12, in.remaining())];
                in.get(bytes);
                in.position(in.limit());
                report(new String(bytes, java.nio.charset.StandardCharsets.US_ASCII).equals("HTTP/1.1 200"));
                close();
            }

            @Override
            protected void onClosed(String reason) {
                report(false);
            }

            private void report(boolean ready) {
                if (!isReported[0]) {
                    isReported[0] = true;
                    updateReadiness(node, ready);
                }
            }
        };
        try {
            connection.connect(node.address);
            connection.write(ByteBuffer.wrap("GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n"
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            updateReadiness(node, false);
        }
        loop.schedule(loop.nowMs() + PROBE_INTERVAL_MS, () -> {
            if (!isReported[0]) {
                isReported[0] = true;
                connection.close();
                updateReadiness(node, false);
            }
            probe(node);
        });
    }

    private void updateReadiness(Node node, boolean ready) {
        double nowMs = loop.nowMs();
        if (ready == node.ready) {
            node.differsSinceMs = 0;
        } else if (node.differsSinceMs == 0) {
            node.differsSinceMs = nowMs;
        }
        if (ready != node.ready && nowMs - node.differsSinceMs >= noticeMs) {
            node.ready = ready;
            node.differsSinceMs = 0;
        }
    }

    @Override
    public void close() {
        loop.call(() -> {
            closed = true;
            try {
                listening.close();
            } catch (IOException e) {
                // The channel is closed even if close() fails.
            }
        });
    }
}
