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
 * A proxy that carries datagrams between nodes. Each node has a port of the proxy: other nodes send to that port, and
 * datagrams of the node arrive at their receivers from it, so nodes cannot distinguish the proxy from a direct
 * connection. Each direction between two nodes is a link with its own fault.
 */
public final class DatagramLinks implements AutoCloseable {
    /** The fault of one link. Setting another fault replaces it. */
    public static final class Fault {
        boolean cut;
        double lossProbability;
        double delayMs;
        double jitterMs;
        double duplicateProbability;
        double bitFlipProbability;
        /** Longer datagrams are truncated to this size. */
        int maxBytes = Integer.MAX_VALUE;
        /** Throughput limit; 0 for none. */
        double bytesPerSecond;
        /** The fault affects only messages of this kind; null for all. */
        String messageKind;

        /** Datagrams are held back until this time of the links' clock. */
        double heldUntilMs;

        private double linkFreeAtMs;
    }

    private static final int MAX_DATAGRAM_BYTES = 65_536;

    private final Selector selector;
    private final NodeClock clock = new NodeClock();
    private final List<DatagramChannel> channels = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Map<Integer, Integer> nodeOfPort = new HashMap<>();
    private final Fault[][] faults;
    private final RandomGenerator random;
    private final String fleet;
    private final TimerQueue delayedDatagrams = new TimerQueue();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    private final Thread thread;
    private final long[] sentBytes;
    private final long[] sentMessages;
    private long droppedDatagrams;
    private volatile boolean closed;

    /** Creates the links among nodes that listen on these loopback ports. */
    public DatagramLinks(List<Integer> nodePorts, String fleet, long seed) throws IOException {
        this.selector = Selector.open();
        this.fleet = fleet;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.faults = new Fault[nodePorts.size()][nodePorts.size()];
        this.sentBytes = new long[nodePorts.size()];
        this.sentMessages = new long[nodePorts.size()];
        for (int node = 0; node < nodePorts.size(); node++) {
            DatagramChannel channel = DatagramChannel.open();
            channel.configureBlocking(false);
            channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 1 << 20);
            channel.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            channel.register(selector, SelectionKey.OP_READ, node);
            channels.add(channel);
            ports.add(nodePorts.get(node));
            nodeOfPort.put(nodePorts.get(node), node);
        }
        this.thread = new Thread(this::run, "spartrail-links");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address at which other nodes reach this node. */
    public String address(int node) {
        return "127.0.0.1:" + channels.get(node).socket().getLocalPort();
    }

    /** Sets the fault of the link from one node to another; null removes it. */
    public void setFault(int from, int to, Fault fault) {
        tasks.add(() -> faults[from][to] = fault);
        selector.wakeup();
    }

    /**
     * Sets a fault on every link from a node that matches {@code from} to another node that matches {@code to}. Each
     * link gets a new fault from the supplier; if the supplier returns null, the link's fault is removed.
     */
    public void setFaults(Predicate<Integer> from, Predicate<Integer> to, java.util.function.Supplier<Fault> faults) {
        for (int i = 0; i < ports.size(); i++) {
            for (int j = 0; j < ports.size(); j++) {
                if (i != j && from.test(i) && to.test(j)) {
                    setFault(i, j, faults.get());
                }
            }
        }
    }

    /** Bytes that a node has sent to other nodes so far. */
    public synchronized long sentBytes(int node) {
        return sentBytes[node];
    }

    public synchronized long sentMessages(int node) {
        return sentMessages[node];
    }

    public synchronized long droppedDatagrams() {
        return droppedDatagrams;
    }

    private void run() {
        while (!closed) {
            try {
                double waitMs = delayedDatagrams.nextDueMs() - clock.nowMs();
                if (waitMs <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(Math.max(1, (long) Math.min(200, waitMs)));
                }
                runTasks();
                for (SelectionKey key : selector.selectedKeys()) {
                    int to = (Integer) key.attachment();
                    while (receiveDatagram(to)) {
                        // Reads until the socket is empty.
                    }
                }
                selector.selectedKeys().clear();
                delayedDatagrams.runDue(clock.nowMs());
            } catch (IOException e) {
                if (!closed) {
                    System.getLogger("spartrail.lab.nodes")
                            .log(
                                    System.Logger.Level.WARNING,
                                    "carrying datagrams between nodes failed: " + e.getMessage() + "; continuing");
                }
            }
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    private boolean receiveDatagram(int to) throws IOException {
        receiveBuffer.clear();
        InetSocketAddress source = (InetSocketAddress) channels.get(to).receive(receiveBuffer);
        if (source == null) {
            return false;
        }
        // Applies changed faults first: otherwise a datagram sent after a change would meet the previous fault.
        runTasks();
        receiveBuffer.flip();
        byte[] datagram = new byte[receiveBuffer.remaining()];
        receiveBuffer.get(datagram);
        Integer from = nodeOfPort.get(source.getPort());
        if (from == null) {
            // The sender is no node, for example a flood. Its datagram carries the receiver's own port as its source.
            forward(datagram, to, to);
            return true;
        }
        synchronized (this) {
            sentBytes[from] += datagram.length;
            sentMessages[from]++;
        }
        Fault fault = faults[from][to];
        if (fault == null || fault.messageKind != null && !fault.messageKind.equals(readMessageKind(datagram))) {
            forward(datagram, from, to);
            return true;
        }
        carryWithFault(datagram, from, to, fault);
        return true;
    }

    private void carryWithFault(byte[] datagram, int from, int to, Fault fault) {
        double nowMs = clock.nowMs();
        if (fault.cut || random.nextDouble() < fault.lossProbability) {
            synchronized (this) {
                droppedDatagrams++;
            }
            return;
        }
        byte[] payload =
                datagram.length > fault.maxBytes ? java.util.Arrays.copyOf(datagram, fault.maxBytes) : datagram;
        if (random.nextDouble() < fault.bitFlipProbability) {
            payload = payload.clone();
            payload[random.nextInt(payload.length)] ^= (byte) (1 << random.nextInt(8));
        }
        double atMs = nowMs + fault.delayMs + fault.jitterMs * random.nextDouble();
        if (fault.bytesPerSecond > 0) {
            fault.linkFreeAtMs = Math.max(fault.linkFreeAtMs, nowMs) + 1000 * payload.length / fault.bytesPerSecond;
            atMs = Math.max(atMs, fault.linkFreeAtMs);
        }
        atMs = Math.max(atMs, fault.heldUntilMs);
        byte[] forwarded = payload;
        int copies = random.nextDouble() < fault.duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (atMs <= nowMs) {
                forward(forwarded, from, to);
            } else {
                delayedDatagrams.schedule(atMs, () -> forward(forwarded, from, to));
            }
        }
    }

    private String readMessageKind(byte[] datagram) {
        try {
            DatagramFrame frame = DatagramFrame.decode(datagram, datagram.length, fleet, MAX_DATAGRAM_BYTES);
            return planText(PeerMessageCodec.decode(frame).kind());
        } catch (MalformedDatagramException e) {
            return "";
        }
    }

    /** The text that plans use for a kind of message. */
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
            channels.get(from)
                    .send(
                            ByteBuffer.wrap(datagram),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(to)));
        } catch (IOException e) {
            // Counted as dropped; as on a network, neither side is informed.
            synchronized (this) {
                droppedDatagrams++;
            }
        }
    }

    public double nowMs() {
        return clock.nowMs();
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
            for (DatagramChannel channel : channels) {
                channel.close();
            }
            selector.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The process closes the remaining sockets when it ends.
        }
    }
}
