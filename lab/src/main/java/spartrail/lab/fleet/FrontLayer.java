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
 * The layer before the front nodes: it spreads clients' connections over those nodes whose {@code /up} says 200, in turn,
 * and passes bytes on. It notices late, as such layers do: a node that has gone gets connections for a while.
 */
public final class FrontLayer implements AutoCloseable {
    private static final double ASKED_EVERY_MS = 200;

    /** A node as this layer sees it. */
    private static final class Node {
        private final InetSocketAddress address;
        private boolean ready;
        /** When a look at it last said something else than what is believed; 0 while they agree. */
        private double differsSinceMs;

        Node(InetSocketAddress address) {
            this.address = address;
        }
    }

    /** One side of a client's way; what it hears goes to the other. */
    private static final class Side extends TcpConnection {
        private Side other;
        private long passed;

        Side(SocketLoop loop) {
            super(loop);
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            passed += in.remaining();
            ByteBuffer copy = ByteBuffer.allocate(in.remaining()).put(in).flip();
            other.write(copy);
        }

        @Override
        protected void onClosed(String why) {
            // A reset is passed on as one: a client has to know that its answer is not whole.
            if (why.equals("closed")) {
                loop.schedule(loop.nowMs() + 1, other::close);
            } else {
                other.reset();
            }
        }
    }

    private final SocketLoop loop;
    private final double noticeMs;
    private final List<Node> nodes = new ArrayList<>();
    private final ServerSocketChannel listening;
    private long turn;
    private boolean closed;

    /** Listens at a port of the loopback (0: a free one) for these nodes; changes count after {@code noticeMs}. */
    public FrontLayer(SocketLoop loop, int port, List<InetSocketAddress> addresses, double noticeMs)
            throws IOException {
        this.loop = loop;
        this.noticeMs = noticeMs;
        addresses.forEach(address -> nodes.add(new Node(address)));
        this.listening = loop.listen(new InetSocketAddress("127.0.0.1", port), 4096, this::accepted);
        loop.execute(() -> nodes.forEach(this::look));
    }

    public int port() {
        return listening.socket().getLocalPort();
    }

    private void accepted(SocketChannel channel) {
        Side client = new Side(loop);
        Side server = new Side(loop);
        client.other = server;
        server.other = client;
        try {
            client.adopt(channel);
            Node node = next();
            if (node == null) {
                client.reset();
            } else {
                server.connect(node.address);
            }
        } catch (IOException e) {
            client.reset();
        }
    }

    /** The ready nodes in turn; null where none is. */
    private Node next() {
        List<Node> ready = nodes.stream().filter(node -> node.ready).toList();
        return ready.isEmpty() ? null : ready.get((int) (turn++ % ready.size()));
    }

    private void look(Node node) {
        if (closed) {
            return;
        }
        boolean[] told = new boolean[1];
        TcpConnection link = new TcpConnection(loop) {
            @Override
            protected void onBytes(ByteBuffer in) {
                byte[] bytes = new byte[Math.min(12, in.remaining())];
                in.get(bytes);
                in.position(in.limit());
                tell(new String(bytes, java.nio.charset.StandardCharsets.US_ASCII).equals("HTTP/1.1 200"));
                close();
            }

            @Override
            protected void onClosed(String why) {
                tell(false);
            }

            private void tell(boolean ready) {
                if (!told[0]) {
                    told[0] = true;
                    believe(node, ready);
                }
            }
        };
        try {
            link.connect(node.address);
            link.write(ByteBuffer.wrap("GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n"
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            believe(node, false);
        }
        loop.schedule(loop.nowMs() + ASKED_EVERY_MS, () -> {
            if (!told[0]) {
                told[0] = true;
                link.close();
                believe(node, false);
            }
            look(node);
        });
    }

    private void believe(Node node, boolean ready) {
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
                // It is closed all the same.
            }
        });
    }
}
