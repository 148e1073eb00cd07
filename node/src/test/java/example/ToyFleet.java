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
 * A toy fleet on the loopback: index servers that answer at once, and the discovery that lists them. Run it
 * with {@code java example/ToyFleet.java}; it serves until it is ended. Tests start it on ports that the
 * system gives and change its manners.
 */
public final class ToyFleet implements AutoCloseable {
    /** How a toy server behaves. */
    public interface Manner {
        /** A part has come; by default it is answered with the shard and the text. */
        default void part(Link link, String id, int shard, String text) throws IOException {
            link.answer(id, "OK", shard + ":" + text);
        }

        /** A part is given up. */
        default void givenUp(Link link, String id) throws IOException {}

        default void opened(Link link) throws IOException {}

        default void closed(Link link) throws IOException {}
    }

    /** One index server: its name, its cell, where it listens. */
    public static final class Toy {
        public final String uid;
        public final int cell;
        public volatile String state = "SERVING";
        public volatile long bootMs;
        public volatile Manner manner = new Manner() {};
        final ServerSocket listening;

        Toy(int cell, int port) throws IOException {
            this.uid = "s-" + cell;
            this.cell = cell;
            this.listening = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        }

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

        public void answer(String id, String end, String value) throws IOException {
            frame('Y', id + " " + end + " 1 -\n" + value);
        }

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

        public synchronized void raw(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        public void close() throws IOException {
            socket.close();
        }
    }

    public final List<Toy> servers = new ArrayList<>();
    /** Discovery that is silent takes requests and answers none. */
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

    /** Servers on ports from this one on, or on any free ones where it is 0. */
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

    public String discoveryEndpoint() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    /** The list in discovery's form. */
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

    /** Tells a change of a server's state, and whatever changed before. */
    public synchronized void tell(Toy toy, String state) {
        toy.state = state;
        version++;
        notifyAll();
    }

    /** Waits until the present list has been written to a front node, and where asked also until it was read there. */
    public synchronized void awaitTold(boolean read) throws InterruptedException {
        while ((read ? askedFrom : written) < version) {
            wait(20_000);
        }
    }

    /** Waits until a front node has asked for the list. */
    public synchronized void awaitCalled() throws InterruptedException {
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
            // The listening socket is closed: this server is no more.
        }
    }

    private void serve(Link link) {
        try (Socket socket = link.socket) {
            link.toy.manner.opened(link);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'R' -> parts(link, frame);
                    case 'A' -> link.toy.manner.givenUp(
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
            link.toy.manner.closed(link);
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
            link.toy.manner.part(link, words[0], Integer.parseInt(words[1]), text);
        }
    }

    /** Ends a server: its connections are reset and new ones refused. */
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
