package spartrail.cli;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Clients that keep to the protocol: each sends a query of three parts on a connection of its own, waits for the
 * response, and sends the next one after a pause.
 */
final class UsualClients implements AutoCloseable {
    private static final int CLIENTS = 8;
    private static final int PAUSE_MS = 30;
    /** The time that each client waits, in its Req-Deadline. */
    private static final int CLIENT_TIMEOUT_MS = 400;
    /** An answer is late after this time, by the rules on sockets. */
    static final double LATE_AFTER_MS = CLIENT_TIMEOUT_MS + 50;
    /** A query is lost if it gets its response later, by the rules on sockets. */
    private static final int LOST_AFTER_MS = CLIENT_TIMEOUT_MS + 550;

    private static final int SOCKET_TIMEOUT_MS = 4000;
    private static final String LENGTH_FIELD = "Content-Length: ";

    private final int port;
    private final String opType;
    private volatile boolean nodeMayEnd;
    private final List<Connection> connections = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();

    /** A response, or its absence with status 0. */
    private record Response(int status, double waitMs) {}

    private static final Response CLOSED = new Response(0, 0);

    /** What the clients saw in one run. */
    record Summary(double seconds, int served, int rejected, int failed, int lost, double meanMs, double longestMs) {
        double servedPerSecond() {
            return served / seconds;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.0f/s of 200 in %.1f s, %d of 503, %d of 500, %d lost, mean wait %.1f ms, longest %.0f ms",
                    servedPerSecond(),
                    seconds,
                    rejected,
                    failed,
                    lost,
                    meanMs,
                    longestMs);
        }
    }

    /** Creates clients that are not connected yet. */
    UsualClients(int port, String opType) {
        this.port = port;
        this.opType = opType;
        for (int i = 0; i < CLIENTS; i++) {
            connections.add(new Connection());
        }
    }

    /** Runs the clients for this time; ends once each has its last response or has given up on it. */
    Summary run(double seconds) throws InterruptedException {
        responses.clear();
        long startNs = System.nanoTime();
        long endNs = startNs + (long) (seconds * 1e9);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "usual" + startNs + "-" + i + "-";
            Connection connection = connections.get(i);
            threads.add(new Thread(() -> runClient(connection, name, endNs)));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        return summarize((System.nanoTime() - startNs) / 1e9);
    }

    /** From now on the node may end: a client whose connection is closed or refused then goes to another node. */
    void expectEndOfNode() {
        nodeMayEnd = true;
    }

    @Override
    public void close() {
        connections.forEach(Connection::close);
    }

    private synchronized Summary summarize(double seconds) {
        return new Summary(
                seconds,
                count(200),
                count(503),
                count(500),
                (int) responses.stream()
                        .filter(response -> response.status == 0 || response.waitMs > LOST_AFTER_MS)
                        .count(),
                responses.stream().mapToDouble(Response::waitMs).average().orElse(0),
                responses.stream().mapToDouble(Response::waitMs).max().orElse(0));
    }

    private int count(int status) {
        return (int)
                responses.stream().filter(response -> response.status == status).count();
    }

    private void runClient(Connection connection, String name, long endNs) {
        try {
            for (int sent = 0; System.nanoTime() < endNs; sent++) {
                Response response = connection.sendQuery(name + sent);
                boolean isElsewhere = response == CLOSED && nodeMayEnd;
                if (!isElsewhere) {
                    add(response);
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(Response response) {
        responses.add(response);
    }

    /** The connection of one client, which is opened again after its end. */
    private final class Connection {
        private Socket socket;
        private BufferedInputStream in;

        /** Sends a query, once more on a new connection if the node has closed the idle one meanwhile. */
        Response sendQuery(String id) {
            long sentNs = System.nanoTime();
            boolean wasIdle = socket != null;
            try {
                return new Response(trySend(id, wasIdle), (System.nanoTime() - sentNs) / 1e6);
            } catch (SocketTimeoutException e) {
                close();
                return new Response(0, (System.nanoTime() - sentNs) / 1e6);
            } catch (IOException e) {
                close();
                return CLOSED;
            }
        }

        private int trySend(String id, boolean mayRetry) throws IOException {
            try {
                return trySend(id);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                close();
                if (!mayRetry) {
                    throw e;
                }
                return trySend(id);
            }
        }

        private int trySend(String id) throws IOException {
            if (socket == null) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(SOCKET_TIMEOUT_MS);
                in = new BufferedInputStream(socket.getInputStream());
            }
            String query = buildQuery(opType, id, CLIENT_TIMEOUT_MS / 1000.0, 3);
            socket.getOutputStream().write(query.getBytes(StandardCharsets.US_ASCII));
            return readStatus(in);
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            socket = null;
        }
    }

    /** A query for the first shards of the example's configuration. */
    static String buildQuery(String opType, String id, double clientTimeoutSeconds, int parts) {
        StringBuilder body = new StringBuilder("{\"segments\":[");
        for (int shard = 0; shard < parts; shard++) {
            body.append(shard > 0 ? "," : "")
                    .append("{\"segment\":")
                    .append(shard)
                    .append(",\"boost\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        body.append("],\"text\":\"c41e77d0\"}");
        return buildHead(opType, id, clientTimeoutSeconds, body.length()) + body;
    }

    /** The head of a query whose body has this length. */
    static String buildHead(String opType, String id, double clientTimeoutSeconds, int bodyLength) {
        return "POST /" + opType + "/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: " + opType
                + "\r\nReq-Deadline: " + clientTimeoutSeconds + "\r\nContent-Length: " + bodyLength + "\r\n\r\n";
    }

    /** Reads a response from a buffered stream; returns its status. */
    static int readStatus(BufferedInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!isHeadComplete(head)) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after '" + head + "'");
            }
            head.append((char) next);
        }
        int lengthStart = head.indexOf(LENGTH_FIELD) + LENGTH_FIELD.length();
        int length = Integer.parseInt(head.substring(lengthStart, head.indexOf("\r", lengthStart)));
        in.skipNBytes(length);
        return Integer.parseInt(head.substring(9, 12));
    }

    private static boolean isHeadComplete(StringBuilder head) {
        int end = head.length() - 4;
        return end >= 0 && head.indexOf("\r\n\r\n", end) >= 0;
    }
}
