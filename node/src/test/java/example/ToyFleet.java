package example;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/**
 * A toy fleet on the loopback: index servers that answer at once, and the discovery agent that lists them. Run it with
 * {@code java node/src/test/java/example/ToyFleet.java}; it serves until it is stopped. Tests start it on free ports
 * and change its servers' behavior.
 */
public final class ToyFleet implements AutoCloseable {
    /** The behavior of a server; by default it answers each part with the part's shard and text. */
    public interface ServerBehavior {
        /** Called when a part was received. */
        default void onPart(Connection connection, String id, int shard, String text) throws IOException {
            connection.sendResponse(id, "OK", shard + ":" + text);
        }

        /** Called when a part was cancelled. */
        default void onCancelled(Connection connection, String id) throws IOException {}

        /** Called when a connection was accepted. */
        default void onConnected(Connection connection) throws IOException {}

        /** Called when the front node has closed a connection. */
        default void onDisconnected(Connection connection) throws IOException {}
    }

    /** An index server. */
    public static final class Server {
        public final String uid;
        public final int cell;
        public volatile String state = "SERVING";
        public volatile long bootMs;
        public volatile ServerBehavior behavior = new ServerBehavior() {};
        final ServerSocket listening;

        Server(int cell, int port) throws IOException {
            this.uid = "s-" + cell;
            this.cell = cell;
            this.listening = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        }

        /** The server's address as host:port. */
        public String endpoint() {
            return "127.0.0.1:" + listening.getLocalPort();
        }
    }

    /** A connection from a front node. */
    public static final class Connection {
        public final Server server;
        private final Socket socket;

        Connection(Server server, Socket socket) {
            this.server = server;
            this.socket = socket;
        }

        /** Sends a response frame for a part. */
        public void sendResponse(String id, String status, String value) throws IOException {
            sendFrame('Y', id + " " + status + " 1 -\n" + value);
        }

        /** Sends a frame. */
        public synchronized void sendFrame(char type, String payload) throws IOException {
            byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
            byte[] frame = new byte[5 + bytes.length];
            int length = 1 + bytes.length;
            for (int i = 0; i < 4; i++) {
                frame[i] = (byte) (length >>> 24 - 8 * i);
            }
            frame[4] = (byte) type;
            System.arraycopy(bytes, 0, frame, 5, bytes.length);
            sendBytes(frame);
        }

        /** Sends bytes without a frame. */
        public synchronized void sendBytes(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Closes the connection. */
        public void close() throws IOException {
            socket.close();
        }
    }

    public final List<Server> servers = new ArrayList<>();
    /** Whether discovery accepts requests but does not answer them. */
    public volatile boolean silent;

    private final HttpServer discovery;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "toy");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Socket> open = new ArrayList<>();
    private long version = 1;
    /** The latest version of the list that was written to a front node. */
    private long writtenVersion;
    /** The latest version that a front node has received: it has asked for the changes after this version. */
    private long polledVersion;

    private boolean polled;
    private boolean closed;

    /** Starts servers on consecutive ports from {@code firstPort}, or on free ports if it is 0, and discovery. */
    public ToyFleet(int count, int firstPort, int discoveryPort) throws IOException {
        for (int cell = 0; cell < count; cell++) {
            Server server = new Server(cell, firstPort == 0 ? 0 : firstPort + cell);
            servers.add(server);
            threads.execute(() -> acceptConnections(server));
        }
        discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", discoveryPort), 0);
        discovery.setExecutor(threads);
        discovery.createContext("/discovery/hosts", this::handleListRequest);
        discovery.start();
    }

    /** The address of discovery as host:port. */
    public String discoveryEndpoint() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    /** The endpoint list as discovery sends it. */
    public synchronized String endpointList() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":["
                + servers.stream()
                        .map(server -> "{\"uid\":\""
                                + server.uid + "\",\"endpoint\":\"" + server.endpoint()
                                + "\",\"az\":\"a\",\"model\":\"toy\",\"pod_group\":"
                                + server.cell + ",\"state\":\"" + server.state + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                                + server.bootMs + "}")
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** Publishes a new version of the list, in which a server has this state. */
    public synchronized void publish(Server server, String state) {
        server.state = state;
        version++;
        notifyAll();
    }

    /**
     * Waits until the current list was written to a front node; with {@code received}, until the node has asked for the
     * changes after it.
     */
    public synchronized void awaitPublished(boolean received) throws InterruptedException {
        while ((received ? polledVersion : writtenVersion) < version) {
            wait(20_000);
        }
    }

    /** Waits until a front node has asked for the list or its changes. */
    public synchronized void awaitPolled() throws InterruptedException {
        while (!polled) {
            wait(20_000);
        }
    }

    private synchronized void recordPoll(long sinceVersion, long sentVersion) {
        polled = true;
        polledVersion = Math.max(polledVersion, sinceVersion);
        writtenVersion = Math.max(writtenVersion, sentVersion);
        notifyAll();
    }

    private void handleListRequest(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        recordPoll(0, 0);
        try {
            synchronized (this) {
                if (query != null) {
                    long since = Long.parseLong(query.replaceAll(".*since=(\\d+).*", "$1"));
                    recordPoll(since, 0);
                    long untilMs = System.currentTimeMillis()
                            + Long.parseLong(query.replaceAll(".*timeout_ms=(\\d+).*", "$1"));
                    while (!closed && since >= version && System.currentTimeMillis() < untilMs) {
                        wait(Math.max(1, untilMs - System.currentTimeMillis()));
                    }
                }
                while (silent && !closed) {
                    wait(50);
                }
            }
            String list = endpointList();
            byte[] body = list.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
            recordPoll(0, Long.parseLong(list.replaceAll(".*?(\\d+).*", "$1")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptConnections(Server server) {
        try {
            while (true) {
                Socket socket = server.listening.accept();
                socket.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(socket);
                }
                threads.execute(() -> serveConnection(new Connection(server, socket)));
            }
        } catch (IOException e) {
            // The listening socket is closed: this server was killed.
        }
    }

    private void serveConnection(Connection connection) {
        try (Socket socket = connection.socket) {
            connection.server.behavior.onConnected(connection);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'R' -> notifyParts(connection, frame);
                    case 'A' -> connection.server.behavior.onCancelled(
                            connection, new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
                    case 'G', 'T' -> connection.sendFrame((char) frame[0], frame[0] == 'G' ? "OK" : "-");
                    default -> {
                        connection.sendFrame('N', "unknown frame type");
                        return;
                    }
                }
            }
        } catch (IOException e) {
            notifyDisconnected(connection);
        }
    }

    private static void notifyDisconnected(Connection connection) {
        try {
            connection.server.behavior.onDisconnected(connection);
        } catch (IOException e) {
            // The connection is closed in any case.
        }
    }

    private static void notifyParts(Connection connection, byte[] frame) throws IOException {
        int position = 1;
        while (position < frame.length) {
            int lineEnd = position;
            while (frame[lineEnd] != '\n') {
                lineEnd++;
            }
            String[] words = new String(frame, position, lineEnd - position, StandardCharsets.US_ASCII).split(" ");
            int length = Integer.parseInt(words[3]);
            String text = new String(frame, lineEnd + 1, length, StandardCharsets.UTF_8);
            position = lineEnd + 1 + length;
            connection.server.behavior.onPart(connection, words[0], Integer.parseInt(words[1]), text);
        }
    }

    /** Kills a server: its connections are reset and new ones refused. */
    public void kill(Server server) throws IOException {
        server.listening.close();
        synchronized (open) {
            for (Socket socket : open) {
                if (socket.getLocalPort() == server.listening.getLocalPort()) {
                    reset(socket);
                }
            }
        }
    }

    private static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // The thread that serves this socket has closed it in the meantime.
        }
        socket.close();
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        for (Server server : servers) {
            kill(server);
        }
        discovery.stop(0);
        threads.shutdownNow();
    }

    /** Runs the fleet that {@code example/config.json} lists. */
    public static void main(String[] args) throws Exception {
        try (ToyFleet fleet = new ToyFleet(4, 7001, 8500)) {
            System.out.println("discovery on " + fleet.discoveryEndpoint() + ", servers on "
                    + fleet.servers.stream().map(Server::endpoint).toList());
            Thread.currentThread().join();
        }
    }
}
