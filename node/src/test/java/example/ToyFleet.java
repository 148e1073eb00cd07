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
 * A toy fleet on loopback: index servers that answer at once, and the discovery agent that lists them. Run it with
 * {@code java example/ToyFleet.java}; it serves until it is stopped. Tests start it on free ports and change its servers' behavior.
 */
public final class ToyFleet implements AutoCloseable {
    /** Behavior of a toy server; by default each part is answered with its shard and text. */
    public interface ServerBehavior {
        /** A part was received. */
        default void part(Link link, String id, int shard, String text) throws IOException {
            link.answer(id, "OK", shard + ":" + text);
        }

        /** A part was cancelled. */
        default void givenUp(Link link, String id) throws IOException {}

        /** A connection was accepted. */
        default void opened(Link link) throws IOException {}

        /** A connection was closed by the front node. */
        default void closed(Link link) throws IOException {}
    }

    /** One index server. */
    public static final class Toy {
        public final String uid;
        public final int cell;
        public volatile String state = "SERVING";
        public volatile long bootMs;
        public volatile ServerBehavior behavior = new ServerBehavior() {};
        final ServerSocket listening;

        Toy(int cell, int port) throws IOException {
            this.uid = "s-" + cell;
            this.cell = cell;
            this.listening = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        }

        /** Its address as host:port. */
        public String endpoint() {
            return "127.0.0.1:" + listening.getLocalPort();
        }
    }

    /** A connection from a front node. */
    public static final class Link {
        public final Toy toy;
        private final Socket socket;

        Link(Toy toy, Socket socket) {
            this.toy = toy;
            this.socket = socket;
        }

        /** Sends an answer frame for a part. */
        public void answer(String id, String end, String value) throws IOException {
            frame('Y', id + " " + end + " 1 -\n" + value);
        }

        /** Sends a frame. */
        public synchronized void frame(char letter, String rest) throws IOException {
            byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
            byte[] frame = new byte[5 + bytes.length];
            int length = 1 + bytes.length;
            for (int i = 0; i < 4; i++) {
                frame[i] = (byte) (length >>> 24 - 8 * i);
            }
            frame[4] = (byte) letter;
            System.arraycopy(bytes, 0, frame, 5, bytes.length);
            raw(frame);
        }

        /** Sends bytes as they are. */
        public synchronized void raw(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Closes the connection. */
        public void close() throws IOException {
            socket.close();
        }
    }

    public final List<Toy> servers = new ArrayList<>();
    /** Whether discovery accepts requests and answers none. */
    public volatile boolean silent;

    private final HttpServer discovery;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "toy");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Socket> open = new ArrayList<>();
    private long version = 1;
    /** The latest version that was written to a front node, and the latest from which one has asked on. */
    private long written;

    private long askedFrom;
    private boolean called;
    private boolean closed;

    /** Servers on consecutive ports from {@code firstPort}, or on free ports if it is 0. */
    public ToyFleet(int count, int firstPort, int discoveryPort) throws IOException {
        for (int cell = 0; cell < count; cell++) {
            Toy toy = new Toy(cell, firstPort == 0 ? 0 : firstPort + cell);
            servers.add(toy);
            threads.execute(() -> accept(toy));
        }
        discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", discoveryPort), 0);
        discovery.setExecutor(threads);
        discovery.createContext("/discovery/hosts", this::list);
        discovery.start();
    }

    /** The address of discovery as host:port. */
    public String discoveryEndpoint() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    /** The endpoint list as discovery sends it. */
    public synchronized String hosts() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":["
                + servers.stream()
                        .map(toy -> "{\"uid\":\""
                                + toy.uid + "\",\"endpoint\":\"" + toy.endpoint()
                                + "\",\"az\":\"a\",\"model\":\"toy\",\"pod_group\":"
                                + toy.cell + ",\"state\":\"" + toy.state + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                                + toy.bootMs + "}")
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** Publishes a change of a server's state, and whatever changed before. */
    public synchronized void publish(Toy toy, String state) {
        toy.state = state;
        version++;
        notifyAll();
    }

    /** Waits until the current list was written to a front node, and with {@code read} until the node has polled past it. */
    public synchronized void awaitPublished(boolean read) throws InterruptedException {
        while ((read ? askedFrom : written) < version) {
            wait(20_000);
        }
    }

    /** Waits until a front node has polled. */
    public synchronized void awaitPolled() throws InterruptedException {
        while (!called) {
            wait(20_000);
        }
    }

    private synchronized void note(long since, long wrote) {
        called = true;
        askedFrom = Math.max(askedFrom, since);
        written = Math.max(written, wrote);
        notifyAll();
    }

    private void list(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        note(0, 0);
        try {
            synchronized (this) {
                if (query != null) {
                    long since = Long.parseLong(query.replaceAll(".*since=(\\d+).*", "$1"));
                    note(since, 0);
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
            String hosts = hosts();
            byte[] body = hosts.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
            note(0, Long.parseLong(hosts.replaceAll(".*?(\\d+).*", "$1")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(Toy toy) {
        try {
            while (true) {
                Socket socket = toy.listening.accept();
                socket.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(socket);
                }
                threads.execute(() -> serve(new Link(toy, socket)));
            }
        } catch (IOException e) {
            // The listening socket is closed: this server was killed.
        }
    }

    private void serve(Link link) {
        try (Socket socket = link.socket) {
            link.toy.behavior.opened(link);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'R' -> parts(link, frame);
                    case 'A' -> link.toy.behavior.givenUp(
                            link, new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
                    case 'G', 'T' -> link.frame((char) frame[0], frame[0] == 'G' ? "OK" : "-");
                    default -> {
                        link.frame('N', "unknown letter");
                        return;
                    }
                }
            }
        } catch (IOException e) {
            closed(link);
        }
    }

    private static void closed(Link link) {
        try {
            link.toy.behavior.closed(link);
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private static void parts(Link link, byte[] frame) throws IOException {
        int at = 1;
        while (at < frame.length) {
            int lf = at;
            while (frame[lf] != '\n') {
                lf++;
            }
            String[] words = new String(frame, at, lf - at, StandardCharsets.US_ASCII).split(" ");
            int length = Integer.parseInt(words[3]);
            String text = new String(frame, lf + 1, length, StandardCharsets.UTF_8);
            at = lf + 1 + length;
            link.toy.behavior.part(link, words[0], Integer.parseInt(words[1]), text);
        }
    }

    /** Kills a server: its connections are reset and new ones refused. */
    public void kill(Toy toy) throws IOException {
        toy.listening.close();
        synchronized (open) {
            for (Socket socket : open) {
                if (socket.getLocalPort() == toy.listening.getLocalPort()) {
                    reset(socket);
                }
            }
        }
    }

    private static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // Its own thread has just closed it.
        }
        socket.close();
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        for (Toy toy : servers) {
            kill(toy);
        }
        discovery.stop(0);
        threads.shutdownNow();
    }

    /** The fleet that {@code example/config.json} names. */
    public static void main(String[] args) throws Exception {
        try (ToyFleet fleet = new ToyFleet(4, 7001, 8500)) {
            System.out.println("discovery on " + fleet.discoveryEndpoint() + ", servers on "
                    + fleet.servers.stream().map(Toy::endpoint).toList());
            Thread.currentThread().join();
        }
    }
}
