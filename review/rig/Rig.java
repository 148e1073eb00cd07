import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for a small deployment on loopback addresses: index servers, the discovery agent, clients, and the front
 * node as a process that the start command of the deploy file starts.
 */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final long startNs = System.nanoTime();
    final Path folder;
    final List<IndexServer> servers = new ArrayList<>();
    final Discovery discovery;
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(8, Rig::daemon);
    final List<Node> nodes = new ArrayList<>();
    private final PrintWriter record;

    Rig(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        discovery = new Discovery(this);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable task) {
        daemon(task).start();
    }

    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    void log(String text) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f ms  %s%n", nowMs(), text);
            record.flush();
        }
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, Math.round(ms)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** The value that an index server makes for a part: it depends on the id, the shard and the text. */
    static String value(String id, int shard, byte[] text) {
        long hash = 0xCBF29CE484222325L;
        for (byte b : (id + ' ' + shard + ' ' + new String(text, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001B3L;
        }
        return String.format("%016x", hash);
    }

    IndexServer addServer(String id, int cell) throws IOException {
        IndexServer server = new IndexServer(this, id, cell);
        servers.add(server);
        return server;
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            node.process.destroyForcibly();
        }
        for (Node node : nodes) {
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        for (File file : folder.toFile().listFiles()) {
            file.delete();
        }
        folder.toFile().delete();
    }

    /** A part as an index server received it. */
    static final class Part {
        final IndexServer server;
        final Connection connection;
        final String id;
        final int shard;
        final double waitMs;
        final byte[] text;
        volatile boolean cancelled;

        Part(IndexServer server, Connection connection, String id, int shard, double waitMs, byte[] text) {
            this.server = server;
            this.connection = connection;
            this.id = id;
            this.shard = shard;
            this.waitMs = waitMs;
            this.text = text;
        }

        String value() {
            return Rig.value(id, shard, text);
        }

        void answer() {
            connection.write(frame('Y', id + " OK 1840277719 -\n" + value()));
        }

        void answer(String end) {
            connection.write(frame('Y', id + " " + end + " 0 -\n"));
        }
    }

    static byte[] frame(char letter, String rest) {
        byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[5 + bytes.length];
        int length = 1 + bytes.length;
        frame[0] = (byte) (length >>> 24);
        frame[1] = (byte) (length >>> 16);
        frame[2] = (byte) (length >>> 8);
        frame[3] = (byte) length;
        frame[4] = (byte) letter;
        System.arraycopy(bytes, 0, frame, 5, bytes.length);
        return frame;
    }

    /** A front node's connection to an index server. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;
        volatile boolean spoilt;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) {
            try {
                synchronized (out) {
                    out.write(bytes);
                    out.flush();
                }
            } catch (IOException e) {
                // The front node has closed the connection.
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    interface PartHandler {
        void onPart(Part part);
    }

    /** An index server: reads calls and answers each part by its handler. */
    static final class IndexServer {
        final Rig rig;
        final String id;
        final int cell;
        final List<Connection> connections = new ArrayList<>();
        final Map<String, Part> pending = new ConcurrentHashMap<>();
        volatile ServerSocket listening;
        volatile PartHandler handler;
        volatile double workMs = 20;
        volatile String state = "SERVING";
        volatile long bootMs;
        int port;

        IndexServer(Rig rig, String id, int cell) throws IOException {
            this.rig = rig;
            this.id = id;
            this.cell = cell;
            handler = part -> rig.timers.schedule((Runnable) part::answer, Math.round(1000 * workMs), TimeUnit.MICROSECONDS);
            listen(0);
        }

        void listen(int atPort) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(LOOPBACK, atPort), 512);
            listening = socket;
            port = socket.getLocalPort();
            start(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        Connection connection = new Connection(accepted);
                        synchronized (connections) {
                            connections.add(connection);
                        }
                        start(() -> read(connection));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void read(Connection connection) {
            try (DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(connection.socket.getInputStream()))) {
                while (true) {
                    int length = in.readInt();
                    byte[] bytes = new byte[length];
                    in.readFully(bytes);
                    switch (bytes[0]) {
                        case 'R' -> readCall(connection, bytes);
                        case 'A' -> {
                            String partId = new String(bytes, 1, length - 1, StandardCharsets.US_ASCII);
                            rig.log(id + " cancel " + partId);
                            Part part = pending.get(partId);
                            if (part != null) {
                                part.cancelled = true;
                            }
                        }
                        case 'G' -> connection.write(frame('G', "OK"));
                        default -> connection.write(frame('T', "-"));
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            } finally {
                synchronized (connections) {
                    connections.remove(connection);
                }
            }
        }

        private void readCall(Connection connection, byte[] bytes) {
            int at = 1;
            while (at < bytes.length) {
                int end = at;
                while (bytes[end] != '\n') {
                    end++;
                }
                String[] words = new String(bytes, at, end - at, StandardCharsets.US_ASCII).split(" ");
                int length = Integer.parseInt(words[3]);
                byte[] text = new byte[length];
                System.arraycopy(bytes, end + 1, text, 0, length);
                at = end + 1 + length;
                Part part = new Part(
                        this, connection, words[0], Integer.parseInt(words[1]),
                        Double.parseDouble(words[2].substring(2)), text);
                pending.put(part.id, part);
                handler.onPart(part);
            }
        }

        /** Ends the process of this server: its connections are reset, and new ones refused. */
        void kill() {
            try {
                listening.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            List<Connection> open;
            synchronized (connections) {
                open = List.copyOf(connections);
            }
            open.forEach(Connection::reset);
        }

        String entry() {
            return "{\"uid\":\"" + id + "\",\"endpoint\":\"" + address() + "\",\"az\":\"a\",\"model\":\"std-2c\",\"pod_group\":"
                    + cell + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    /** The discovery agent: whole lists and watches. */
    static final class Discovery {
        private final Rig rig;
        final ServerSocket listening;
        final List<String[]> changes = new ArrayList<>();
        long rev = 1;
        /** How long an answer takes when it is slow. */
        volatile long slowMs;

        Discovery(Rig rig) throws IOException {
            this.rig = rig;
            listening = new ServerSocket(0, 64, LOOPBACK);
            start(() -> {
                while (true) {
                    try {
                        Socket socket = listening.accept();
                        socket.setTcpNoDelay(true);
                        start(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        synchronized void change(IndexServer server) {
            rev++;
            changes.add(new String[] {String.valueOf(rev), server.entry()});
            notifyAll();
        }

        synchronized String whole() {
            StringBuilder list = new StringBuilder("{\"rev\":" + rev + ",\"all\":true,\"targets\":[");
            String comma = "";
            for (IndexServer server : rig.servers) {
                if (!server.state.equals("DELETED")) {
                    list.append(comma).append(server.entry());
                    comma = ",";
                }
            }
            return list.append("]}").toString();
        }

        private synchronized String watch(long since, long waitMs) throws InterruptedException {
            long endNs = System.nanoTime() + waitMs * 1_000_000;
            while (rev <= since && System.nanoTime() < endNs) {
                wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
            }
            StringBuilder list = new StringBuilder("{\"rev\":" + rev + ",\"all\":false,\"targets\":[");
            String comma = "";
            for (String[] change : changes) {
                if (Long.parseLong(change[0]) > since) {
                    list.append(comma).append(change[1]);
                    comma = ",";
                }
            }
            return list.append("]}").toString();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                String head = readHead(in);
                while (head != null) {
                    String target = head.split(" ")[1];
                    String body;
                    if (target.contains("since=")) {
                        long since = Long.parseLong(target.replaceAll(".*since=([0-9]+).*", "$1"));
                        long wait = Long.parseLong(target.replaceAll(".*timeout_ms=([0-9]+).*", "$1"));
                        body = watch(since, wait);
                    } else {
                        body = whole();
                    }
                    sleep(slowMs);
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                            + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.UTF_8));
                    head = readHead(in);
                }
            } catch (IOException | InterruptedException e) {
                // The front node has closed the connection.
            }
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.US_ASCII);
    }

    /** A front node, started by the start command of the deploy file. */
    static final class Node {
        final Rig rig;
        final int port;
        final Process process;
        final Path log;

        Node(Rig rig, String name, int port, String config) throws IOException {
            this.rig = rig;
            this.port = port;
            Path file = rig.folder.resolve(name + ".json");
            Files.writeString(file, config);
            log = rig.folder.resolve(name + ".log");
            String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.environment().put("BALANCER_CONFIG", file.toString());
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("BALANCER_DISCOVERY", rig.discovery.address());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            rig.nodes.add(this);
            rig.log("front node " + name + " started, pid " + process.pid());
        }

        boolean awaitReady(double timeoutMs) {
            double untilMs = rig.nowMs() + timeoutMs;
            while (rig.nowMs() < untilMs && process.isAlive()) {
                try (Socket socket = new Socket(LOOPBACK, port)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n".getBytes());
                    String head = readHead(socket.getInputStream());
                    if (head != null && head.startsWith("HTTP/1.1 200")) {
                        rig.log("front node ready");
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(20);
            }
            return false;
        }

        void signal(String name) throws IOException {
            rig.log("SIG" + name + " to the front node");
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());

    static String newId() {
        return String.format("%016x", NEXT_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static String body(String text, int... shards) {
        StringBuilder body = new StringBuilder("{\"segments\":[");
        for (int i = 0; i < shards.length; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"segment\":")
                    .append(shards[i])
                    .append(",\"boost\":")
                    .append(1.0 / shards.length)
                    .append("}");
        }
        return body.append("],\"text\":\"").append(text).append("\"}").toString();
    }

    static byte[] request(String id, String kind, double deadlineS, String body) {
        return ("POST /" + kind + "/k1 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                        + "\r\nReq-Deadline: " + String.format(Locale.ROOT, "%.3f", deadlineS) + "\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** An answer: the status, or 0 for an end of the connection and -1 for none in time. */
    record Answer(int status, String head, String body) {
        /** The values of the answer by shard. */
        Map<Integer, String> values() {
            Map<Integer, String> values = new HashMap<>();
            java.util.regex.Matcher matcher = java.util.regex.Pattern.compile(
                            "\\{\"segment\":([0-9]+),\"payload\":\"([^\"]*)\"\\}")
                    .matcher(body);
            while (matcher.find()) {
                values.put(Integer.parseInt(matcher.group(1)), matcher.group(2));
            }
            return values;
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        Answer receive(double timeoutMs) {
            try {
                socket.setSoTimeout((int) Math.max(1, timeoutMs));
                String head = readHead(in);
                if (head == null) {
                    return new Answer(0, "", "");
                }
                java.util.regex.Matcher length = java.util.regex.Pattern.compile(
                                "(?i)content-length: *([0-9]+)")
                        .matcher(head);
                byte[] body = length.find() ? in.readNBytes(Integer.parseInt(length.group(1))) : new byte[0];
                return new Answer(
                        Integer.parseInt(head.split(" ")[1]), head, new String(body, StandardCharsets.UTF_8));
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(-1, "", "");
            } catch (IOException e) {
                return new Answer(0, "", e.toString());
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}
