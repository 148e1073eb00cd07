package spartrail.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;

/** A minimal HTTP/1.1 server for emulators: they can write any bytes as an answer, including faulty ones. */
final class HttpStub implements AutoCloseable {
    /** A completely received request; the handler answers it on its connection, at once or later. */
    static final class Request {
        final ClientConnection connection;
        final String method;
        final String path;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        Request(ClientConnection connection, String method, String path) {
            this.connection = connection;
            this.method = method;
            this.path = path;
        }

        void respond(int status, String headers, byte[] body) {
            connection.write(encode(status, headers, body, 1));
        }

        /**
         * Answers twice in a single write. With two writes the client could take the second answer for that to its next
         * request.
         */
        void respondTwice(byte[] body) {
            connection.write(encode(200, "", body, 2));
        }

        private static ByteBuffer encode(int status, String headers, byte[] body, int times) {
            byte[] head = ("HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            ByteBuffer bytes = ByteBuffer.allocate(times * (head.length + body.length));
            for (int i = 0; i < times; i++) {
                bytes.put(head).put(body);
            }
            return bytes.flip();
        }
    }

    /** A client's connection. */
    final class ClientConnection extends TcpConnection {
        private byte[] bytes = new byte[1024];
        private int size;
        /** The request whose head has been read and whose body is incomplete, or null. */
        private Request partial;
        /** Length of the body of {@link #partial}. */
        private int bodyBytes;

        ClientConnection() {
            super(HttpStub.this.loop);
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            int more = in.remaining();
            if (size + more > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
            }
            in.get(bytes, size, more);
            size += more;
            try {
                while (isOpen() && readRequest()) {
                    Request request = partial;
                    partial = null;
                    handler.accept(request);
                }
            } catch (RuntimeException e) {
                close();
                connections.remove(this);
            }
        }

        private boolean readRequest() {
            if (partial == null) {
                int end = -1;
                for (int i = 3; i < size && end < 0; i++) {
                    if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                        end = i + 1;
                    }
                }
                if (end < 0) {
                    return false;
                }
                String[] lines = new String(bytes, 0, end - 4, StandardCharsets.ISO_8859_1).split("\r\n");
                String[] words = lines[0].split(" ");
                partial = new Request(this, words[0], words[1]);
                for (int i = 1; i < lines.length; i++) {
                    int colon = lines[i].indexOf(':');
                    partial.headers.put(
                            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                            lines[i].substring(colon + 1).trim());
                }
                bodyBytes = Integer.parseInt(partial.headers.getOrDefault("content-length", "0"));
                discard(end);
            }
            if (size < bodyBytes) {
                return false;
            }
            partial.body = Arrays.copyOf(bytes, bodyBytes);
            discard(bodyBytes);
            return true;
        }

        private void discard(int count) {
            System.arraycopy(bytes, count, bytes, 0, size - count);
            size -= count;
        }

        @Override
        protected void onClosed(String reason) {
            connections.remove(this);
        }
    }

    private final SocketLoop loop;
    private final Consumer<Request> handler;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final ServerSocketChannel listening;

    HttpStub(SocketLoop loop, InetSocketAddress address, Consumer<Request> handler) throws IOException {
        this.loop = loop;
        this.handler = handler;
        this.listening = loop.listen(address, 4096, channel -> {
            ClientConnection connection = new ClientConnection();
            try {
                connection.adopt(channel);
                connections.add(connection);
            } catch (IOException e) {
                connection.close();
            }
        });
    }

    int port() {
        return listening.socket().getLocalPort();
    }

    int connections() {
        return connections.size();
    }

    @Override
    public void close() {
        loop.call(() -> {
            try {
                listening.close();
            } catch (IOException e) {
                // The channel is closed even if close() fails.
            }
            connections.forEach(TcpConnection::close);
            connections.clear();
        });
    }
}
