package spartrail.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;
import spartrail.peers.PeerMessage;
import spartrail.peers.transport.DatagramFrame;
import spartrail.peers.transport.MalformedDatagramException;
import spartrail.peers.transport.PeerMessageCodec;

/**
 * Carries datagrams among nodes. Each node is reached by others at a port of these links, and what it sends comes to its
 * receiver from that port, so that a node cannot tell them from a wire. Every link has a direction and faults of its own.
 */
public final class DatagramLinks implements AutoCloseable {
    /** What is wrong with a link; the next one set replaces it. */
    public static final class Trouble {
        boolean cut;
        double loss;
        double delayMs;
        double jitterMs;
        double twice;
        double flipped;
        int mostBytes = Integer.MAX_VALUE;
        double bytesPerS;
        /** Only messages of this kind; null for all. */
        String kind;

        double heldUntilMs;
        private double freeMs;
    }

    private static final int LONGEST = 65_536;

    private final Selector selector;
    private final NodeClock clock = new NodeClock();
    private final List<DatagramChannel> doors = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Map<Integer, Integer> nodeOfPort = new HashMap<>();
    private final Trouble[][] troubles;
    private final RandomGenerator chance;
    private final String fleet;
    private final TimerQueue timetable = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer in = ByteBuffer.allocate(LONGEST);
    private final Thread thread;
    private final long[] bytes;
    private final long[] messages;
    private long dropped;
    private volatile boolean ended;

    /** So many nodes, each listening on the port given. */
    public DatagramLinks(List<Integer> nodePorts, String fleet, long seed) throws IOException {
        this.selector = Selector.open();
        this.fleet = fleet;
        this.chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.troubles = new Trouble[nodePorts.size()][nodePorts.size()];
        this.bytes = new long[nodePorts.size()];
        this.messages = new long[nodePorts.size()];
        for (int node = 0; node < nodePorts.size(); node++) {
            DatagramChannel door = DatagramChannel.open();
            door.configureBlocking(false);
            door.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 1 << 20);
            door.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            door.register(selector, SelectionKey.OP_READ, node);
            doors.add(door);
            ports.add(nodePorts.get(node));
            nodeOfPort.put(nodePorts.get(node), node);
        }
        this.thread = new Thread(this::run, "spartrail-links");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where others reach this node. */
    public String address(int node) {
        return "127.0.0.1:" + doors.get(node).socket().getLocalPort();
    }

    /** From now on this is wrong with the link from one node to the other; null for nothing. */
    public void set(int from, int to, Trouble trouble) {
        tasks.add(() -> troubles[from][to] = trouble);
        selector.wakeup();
    }

    public void setAll(Predicate<Integer> from, Predicate<Integer> to, java.util.function.Supplier<Trouble> trouble) {
        for (int i = 0; i < ports.size(); i++) {
            for (int j = 0; j < ports.size(); j++) {
                if (i != j && from.test(i) && to.test(j)) {
                    set(i, j, trouble.get());
                }
            }
        }
    }

    /** Bytes that a node has sent to others so far, and messages. */
    public synchronized long bytes(int node) {
        return bytes[node];
    }

    public synchronized long messages(int node) {
        return messages[node];
    }

    public synchronized long dropped() {
        return dropped;
    }

    private void run() {
        while (!ended) {
            try {
                double waitMs = timetable.nextDueMs() - clock.nowMs();
                if (waitMs <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(Math.max(1, (long) Math.min(200, waitMs)));
                }
                settle();
                for (SelectionKey key : selector.selectedKeys()) {
                    int to = (Integer) key.attachment();
                    while (take(to)) {
                        // Until it is empty.
                    }
                }
                selector.selectedKeys().clear();
                timetable.runDue(clock.nowMs());
            } catch (IOException e) {
                if (!ended) {
                    System.getLogger("spartrail.lab.nodes")
                            .log(System.Logger.Level.WARNING, "links: " + e.getMessage());
                }
            }
        }
    }

    private void settle() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    private boolean take(int to) throws IOException {
        in.clear();
        InetSocketAddress source = (InetSocketAddress) doors.get(to).receive(in);
        if (source == null) {
            return false;
        }
        // Applies changed faults first: otherwise a datagram sent after a change would be handled by the fault before
        // it.
        settle();
        in.flip();
        byte[] datagram = new byte[in.remaining()];
        in.get(datagram);
        Integer from = nodeOfPort.get(source.getPort());
        if (from == null) {
            // A stranger: a flood, say. It comes from where it comes from.
            forward(datagram, to, to);
            return true;
        }
        synchronized (this) {
            bytes[from] += datagram.length;
            messages[from]++;
        }
        Trouble trouble = troubles[from][to];
        if (trouble == null || trouble.kind != null && !trouble.kind.equals(kind(datagram))) {
            forward(datagram, from, to);
            return true;
        }
        carry(datagram, from, to, trouble);
        return true;
    }

    private void carry(byte[] datagram, int from, int to, Trouble trouble) {
        double nowMs = clock.nowMs();
        if (trouble.cut || chance.nextDouble() < trouble.loss) {
            synchronized (this) {
                dropped++;
            }
            return;
        }
        byte[] carried =
                datagram.length > trouble.mostBytes ? java.util.Arrays.copyOf(datagram, trouble.mostBytes) : datagram;
        if (chance.nextDouble() < trouble.flipped) {
            carried = carried.clone();
            carried[chance.nextInt(carried.length)] ^= (byte) (1 << chance.nextInt(8));
        }
        double atMs = nowMs + trouble.delayMs + trouble.jitterMs * chance.nextDouble();
        if (trouble.bytesPerS > 0) {
            trouble.freeMs = Math.max(trouble.freeMs, nowMs) + 1000 * carried.length / trouble.bytesPerS;
            atMs = Math.max(atMs, trouble.freeMs);
        }
        atMs = Math.max(atMs, trouble.heldUntilMs);
        byte[] sent = carried;
        int times = chance.nextDouble() < trouble.twice ? 2 : 1;
        for (int i = 0; i < times; i++) {
            if (atMs <= nowMs) {
                forward(sent, from, to);
            } else {
                timetable.schedule(atMs, () -> forward(sent, from, to));
            }
        }
    }

    private String kind(byte[] datagram) {
        try {
            DatagramFrame frame = DatagramFrame.decode(datagram, datagram.length, fleet, LONGEST);
            return planText(PeerMessageCodec.decode(frame).kind());
        } catch (MalformedDatagramException e) {
            return "";
        }
    }

    /** The text that plans have for a kind of message. */
    static String planText(PeerMessage.Kind kind) {
        return switch (kind) {
            case PING -> "PING";
            case ACK -> "ACK";
            case PING_REQUEST -> "ASK";
            case INDIRECT_ACK -> "FOUND";
            case INDIRECT_NACK -> "NOT_FOUND";
        };
    }

    private void forward(byte[] datagram, int from, int to) {
        try {
            doors.get(from)
                    .send(
                            ByteBuffer.wrap(datagram),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(to)));
        } catch (IOException e) {
            // As on a wire: nobody is told.
            synchronized (this) {
                dropped++;
            }
        }
    }

    public double nowMs() {
        return clock.nowMs();
    }

    @Override
    public void close() {
        ended = true;
        selector.wakeup();
        try {
            thread.join(2000);
            for (DatagramChannel door : doors) {
                door.close();
            }
            selector.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // They go with the process.
        }
    }
}
