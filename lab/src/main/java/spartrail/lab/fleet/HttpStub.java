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

/** A small HTTP/1.1 server whose every byte can be chosen, so that it can misbehave. */
final class HttpStub implements AutoCloseable {
    /** A request that has come whole; it is answered by its link, now or later. */
    static final class Request {
        final Client from;
        final String method;
        final String path;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        Request(Client from, String method, String path) {
            this.from = from;
            this.method = method;
            this.path = path;
        }

        void answer(int status, String headers, byte[] body) {
            from.write(bytes(status, headers, body, 1));
        }

        /** In one piece, or the second one could be taken for the answer to the client's next request. */
        void answerTwice(byte[] body) {
            from.write(bytes(200, "", body, 2));
        }

        private static ByteBuffer bytes(int status, String headers, byte[] body, int times) {
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
    final class Client extends TcpConnection {
        private byte[] bytes = new byte[1024];
        private int size;
        private Request open;
        private int needed;

        Client() {
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
                while (isOpen() && request()) {
                    Request whole = open;
                    open = null;
                    taker.accept(whole);
                }
            } catch (RuntimeException e) {
                close();
                clients.remove(this);
            }
        }

        private boolean request() {
            if (open == null) {
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
                open = new Request(this, words[0], words[1]);
                for (int i = 1; i < lines.length; i++) {
                    int colon = lines[i].indexOf(':');
                    open.headers.put(
                            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                            lines[i].substring(colon + 1).trim());
                }
                needed = Integer.parseInt(open.headers.getOrDefault("content-length", "0"));
                cut(end);
            }
            if (size < needed) {
                return false;
            }
            open.body = Arrays.copyOf(bytes, needed);
            cut(needed);
            return true;
        }

        private void cut(int count) {
            System.arraycopy(bytes, count, bytes, 0, size - count);
            size -= count;
        }

        @Override
        protected void onClosed(String why) {
            clients.remove(this);
        }
    }

    private final SocketLoop loop;
    private final Consumer<Request> taker;
    private final Set<Client> clients = new HashSet<>();
    private final ServerSocketChannel listening;

    HttpStub(SocketLoop loop, InetSocketAddress address, Consumer<Request> taker) throws IOException {
        this.loop = loop;
        this.taker = taker;
        this.listening = loop.listen(address, 4096, channel -> {
            Client client = new Client();
            try {
                client.adopt(channel);
                clients.add(client);
            } catch (IOException e) {
                client.close();
            }
        });
    }

    int port() {
        return listening.socket().getLocalPort();
    }

    int connections() {
        return clients.size();
    }

    @Override
    public void close() {
        loop.call(() -> {
            try {
                listening.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
            clients.forEach(TcpConnection::close);
            clients.clear();
        });
    }
}
