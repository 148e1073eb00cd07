package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;

/**
 * Carries out what a {@link Resolver} asks, on a thread of its own: a fresh UDP socket, and so a port drawn by the system,
 * for each question; one TCP connection for each name server, kept for the next question. It decides nothing. What is out
 * is bounded by the resolver, so sockets are, too.
 */
public final class DnsTransport implements Runnable, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.dns");
    private static final int LONGEST_UDP = 4096;
    private static final double UNUSED_TCP_MS = 5000;

    /** A question that is out over UDP. */
    private final class Udp {
        private final DnsQuery question;
        private final DatagramChannel channel;
        private TimerQueue.Timer due;

        Udp(DnsQuery question) throws IOException {
            this.question = question;
            channel = DatagramChannel.open();
            try {
                channel.configureBlocking(false);
                // Not connected: what comes from elsewhere is to be seen, counted and dropped.
                channel.bind(new InetSocketAddress(
                        question.server().getAddress().isLoopbackAddress() ? "127.0.0.1" : "0.0.0.0", 0));
                channel.register(selector, SelectionKey.OP_READ, (Runnable) this::read);
                channel.send(ByteBuffer.wrap(question.message()), question.server());
            } catch (IOException e) {
                channel.close();
                throw e;
            }
            due = timetable.schedule(nowMs() + question.timeOutMs(), () -> {
                close();
                resolver.timedOut(question, nowMs());
            });
        }

        private void read() {
            try {
                ByteBuffer buffer = ByteBuffer.allocate(LONGEST_UDP);
                for (InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
                        from != null;
                        from = (InetSocketAddress) channel.receive(buffer)) {
                    buffer.flip();
                    byte[] bytes = new byte[buffer.remaining()];
                    buffer.get(bytes);
                    if (resolver.answer(question, bytes, from, nowMs())) {
                        close();
                        return;
                    }
                    buffer.clear();
                }
            } catch (IOException e) {
                // No such port, say: the time-out would tell the same, later.
                close();
                resolver.failed(question, nowMs());
            }
        }

        private void close() {
            timetable.cancel(due);
            udp.remove(question.number());
            DnsTransport.close(channel);
        }
    }

    /** A connection to a name server, with the questions that are out on it. */
    private final class Tcp {
        private final InetSocketAddress server;
        private final SocketChannel channel;
        private final SelectionKey key;
        private final Map<Integer, DnsQuery> out = new HashMap<>();
        private final Map<Integer, TimerQueue.Timer> dues = new HashMap<>();
        private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
        private ByteBuffer in = ByteBuffer.allocate(2);
        private boolean head = true;
        private boolean up;
        private TimerQueue.Timer unused;

        Tcp(InetSocketAddress server) throws IOException {
            this.server = server;
            channel = SocketChannel.open();
            try {
                channel.configureBlocking(false);
                up = channel.connect(server);
                key = channel.register(
                        selector, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, (Runnable) this::ready);
            } catch (IOException e) {
                channel.close();
                throw e;
            }
        }

        void ask(DnsQuery question) {
            out.put(question.id(), question);
            dues.put(question.id(), timetable.schedule(nowMs() + question.timeOutMs(), () -> {
                out.remove(question.id());
                dues.remove(question.id());
                resolver.timedOut(question, nowMs());
                if (out.isEmpty()) {
                    // It may have swallowed more than this one.
                    end();
                }
            }));
            unwritten.add(ByteBuffer.allocate(2 + question.message().length)
                    .putShort((short) question.message().length)
                    .put(question.message())
                    .flip());
            if (up) {
                write();
            }
        }

        private void ready() {
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    up = true;
                    key.interestOps(SelectionKey.OP_READ);
                    write();
                    return;
                }
                if (key.isWritable()) {
                    write();
                }
                if (key.isValid() && key.isReadable()) {
                    read();
                }
            } catch (IOException e) {
                end();
            }
        }

        private void write() {
            try {
                while (!unwritten.isEmpty()) {
                    channel.write(unwritten.peek());
                    if (unwritten.peek().hasRemaining()) {
                        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                        return;
                    }
                    unwritten.poll();
                }
                key.interestOps(SelectionKey.OP_READ);
            } catch (IOException e) {
                end();
            }
        }

        private void read() throws IOException {
            while (true) {
                int count = channel.read(in);
                if (count < 0) {
                    end();
                    return;
                }
                if (in.hasRemaining()) {
                    return;
                }
                in.flip();
                if (head) {
                    // Two octets of length: no answer is longer than 64 KiB.
                    in = ByteBuffer.allocate(Math.max(1, in.getShort() & 0xffff));
                    head = false;
                    continue;
                }
                byte[] bytes = in.array();
                in = ByteBuffer.allocate(2);
                head = true;
                int id = bytes.length < 2 ? -1 : (bytes[0] & 0xff) << 8 | bytes[1] & 0xff;
                DnsQuery question = out.get(id);
                if (question != null && resolver.answer(question, bytes, server, nowMs())) {
                    out.remove(id);
                    timetable.cancel(dues.remove(id));
                }
                if (out.isEmpty() && unused == null) {
                    unused = timetable.schedule(nowMs() + UNUSED_TCP_MS, () -> {
                        unused = null;
                        if (out.isEmpty()) {
                            end();
                        }
                    });
                }
            }
        }

        private void end() {
            tcp.remove(server, this);
            if (unused != null) {
                timetable.cancel(unused);
            }
            DnsTransport.close(channel);
            List<DnsQuery> open = List.copyOf(out.values());
            out.clear();
            dues.values().forEach(timetable::cancel);
            dues.clear();
            open.forEach(question -> resolver.failed(question, nowMs()));
        }
    }

    private final Resolver resolver;
    private final Consumer<SrvTargets> lists;
    private final NodeClock clock;
    private final Selector selector;
    private final TimerQueue timetable = new TimerQueue();
    private final Map<Long, Udp> udp = new HashMap<>();
    private final Map<InetSocketAddress, Tcp> tcp = new HashMap<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean ended;

    /** Lists that change are handed over on this transport's thread, which owns the resolver from here on. */
    public DnsTransport(Resolver resolver, NodeClock clock, Consumer<SrvTargets> lists) throws IOException {
        this.resolver = resolver;
        this.clock = clock;
        this.lists = lists;
        this.selector = Selector.open();
        this.thread = new Thread(this, "spartrail-dns");
        thread.setDaemon(true);
        thread.start();
    }

    private double nowMs() {
        return clock.nowMs();
    }

    /** Runs on the transport's thread, which owns the resolver. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private static void close(AutoCloseable channel) {
        try {
            channel.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.DEBUG, "closing", e);
        }
    }

    @Override
    public void run() {
        while (!ended) {
            try {
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                timetable.runDue(nowMs());
                resolver.advance(nowMs());
                // Each question may fail at once and leave further ones.
                for (List<DnsQuery> questions = resolver.questions();
                        !questions.isEmpty();
                        questions = resolver.questions()) {
                    questions.forEach(this::send);
                }
                resolver.listings(nowMs()).forEach(lists);
                double waitMs = Math.min(timetable.nextDueMs(), resolver.nextMs()) - nowMs();
                if (waitMs > 0 && tasks.isEmpty()) {
                    selector.select((long) Math.ceil(Math.min(1000, waitMs)));
                } else {
                    selector.selectNow();
                }
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    if (key.isValid()) {
                        ((Runnable) key.attachment()).run();
                    }
                }
            } catch (IOException | RuntimeException e) {
                // Danger: a fault in one answer must not end the following of all names.
                LOG.log(System.Logger.Level.ERROR, "exception, what was at hand is given up", e);
            }
        }
        selector.keys().forEach(key -> close(key.channel()));
        close(selector);
    }

    private void send(DnsQuery question) {
        try {
            if (question.tcp()) {
                Tcp connection = tcp.get(question.server());
                // Two questions of one id on one connection could not be told apart.
                if (connection == null || connection.out.containsKey(question.id())) {
                    connection = new Tcp(question.server());
                    tcp.put(question.server(), connection);
                }
                connection.ask(question);
            } else {
                udp.put(question.number(), new Udp(question));
            }
        } catch (IOException e) {
            resolver.failed(question, nowMs());
        }
    }

    @Override
    public void close() throws InterruptedException {
        ended = true;
        selector.wakeup();
        if (Thread.currentThread() != thread) {
            thread.join(5000);
        }
    }
}
