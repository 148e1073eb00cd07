import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Stand-in of an index server: reads frames, and answers each part after a time of work. */
class IndexServer implements AutoCloseable {
    /** A part that has arrived. */
    record Arrived(IndexServer server, Link link, String id, int shard, long deadlineMs, String text, double atMs) {
        String query() {
            return id.substring(0, id.lastIndexOf('.'));
        }
    }

    /** Decides what becomes of a part; by default it is served after the server's time of work. */
    interface Plan {
        void onPart(Arrived part);
    }

    final String uid;
    final Record record;
    private final ScheduledThreadPoolExecutor workers;
    private ServerSocket socket;
    private final List<Link> links = new ArrayList<>();
    volatile double workMs;
    volatile Plan plan;
    /** Called for each part before its plan. */
    volatile Plan observer = part -> {};
    volatile boolean logging = true;

    IndexServer(String uid, Record record, ScheduledThreadPoolExecutor workers, double workMs) throws IOException {
        this.uid = uid;
        this.record = record;
        this.workers = workers;
        this.workMs = workMs;
        this.plan = part -> serveAfter(part, this.workMs);
        listen(0);
    }

    private void listen(int port) throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
        socket = listening;
        Rig.thread("server-" + uid, () -> accept(listening));
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Serves a part: its value is made from its id, its text and the server's name. */
    void serveAfter(Arrived part, double ms) {
        workers.schedule(() -> part.link.answer(part.id, "OK", value(part)), (long) (1000 * ms), TimeUnit.MICROSECONDS);
    }

    String value(Arrived part) {
        return valueOf(part.id, part.text);
    }

    /** The only right value of a part. */
    static String valueOf(String id, String text) {
        return "v-" + id + "-" + text;
    }

    /** The process dies: its connections are reset, and new ones refused. */
    void die() throws IOException {
        record.add("%s dies", uid);
        socket.close();
        List<Link> closing;
        synchronized (links) {
            closing = new ArrayList<>(links);
            links.clear();
        }
        for (Link link : closing) {
            link.reset();
        }
    }

    /** A new process at the same address. */
    void restart() throws IOException {
        listen(socket.getLocalPort());
        record.add("%s is up again", uid);
    }

    private void accept(ServerSocket listening) {
        try {
            while (true) {
                Link link = new Link(listening.accept());
                synchronized (links) {
                    links.add(link);
                }
                Rig.thread("server-" + uid + "-link", link::read);
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        synchronized (links) {
            for (Link link : links) {
                link.reset();
            }
        }
    }

    /** A connection of a front node. */
    final class Link {
        private final Socket connection;
        private final DataOutputStream out;
        /** The parts that have arrived and were not answered. */
        private final java.util.concurrent.atomic.AtomicInteger waiting =
                new java.util.concurrent.atomic.AtomicInteger();

        Link(Socket connection) throws IOException {
            this.connection = connection;
            connection.setTcpNoDelay(true);
            out = new DataOutputStream(connection.getOutputStream());
        }

        int waitingParts() {
            return waiting.get();
        }

        void reset() {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException e) {
                // Closed before.
            }
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(connection.getInputStream());
                while (true) {
                    byte[] frame = new byte[in.readInt()];
                    in.readFully(frame);
                    onFrame(frame);
                }
            } catch (IOException e) {
                // Closed by the front node.
            }
        }

        private void onFrame(byte[] frame) throws IOException {
            double nowMs = Record.nowMs();
            if (frame[0] == 'A') {
                String id = new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII);
                if (logging) {
                    record.add("%s: %s is given up", uid, id);
                }
                return;
            }
            if (frame[0] != 'R') {
                throw new IOException("frame " + (char) frame[0]);
            }
            int at = 1;
            while (at < frame.length) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] words = new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
                int length = Integer.parseInt(words[3]);
                String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
                at = end + 1 + length;
                long deadlineMs = Long.parseLong(words[2].replaceAll(".*d=(\\d+).*", "$1"));
                Arrived part = new Arrived(
                        IndexServer.this, this, words[0], Integer.parseInt(words[1]), deadlineMs, text, nowMs);
                if (logging) {
                    record.add("%s: %s arrived, d=%d", uid, part.id, deadlineMs);
                }
                waiting.incrementAndGet();
                observer.onPart(part);
                plan.onPart(part);
            }
        }

        void answer(String id, String end, String value) {
            answer(id, end, value, 0);
        }

        /** Answers in a frame whose length is too large by so many bytes. */
        synchronized void answer(String id, String end, String value, int excess) {
            waiting.decrementAndGet();
            byte[] line = (id + " " + end + " 1 -\n").getBytes(StandardCharsets.US_ASCII);
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            try {
                ByteArrayOutputStream frame = new ByteArrayOutputStream();
                DataOutputStream head = new DataOutputStream(frame);
                head.writeInt(1 + line.length + bytes.length + excess);
                head.write('Y');
                head.write(line);
                head.write(bytes);
                out.write(frame.toByteArray());
                out.flush();
                if (logging) {
                    String mark = excess == 0 ? "" : ", length too large by " + excess;
                    record.add("%s: %s answered %s%s", uid, id, end, mark);
                }
            } catch (IOException e) {
                if (logging) {
                    record.add("%s: %s has no connection for its answer", uid, id);
                }
            }
        }
    }
}
