package spartrail.lab.cluster;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.PeerUpdate;
import spartrail.peers.transport.PeerMessageCodec;

/**
 * An outside sender that floods nodes with datagrams: random bytes, frames of another fleet, invented node names, false
 * updates about existing nodes, and oversized datagrams.
 */
final class DatagramFlood implements AutoCloseable {
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Starts to send.
     *
     * @param contentKind {@code garbage}, {@code fleet}, {@code names}, {@code words}, {@code large}, or {@code all} in
     *     turn
     * @param ports loopback ports, which receive datagrams in turn
     */
    DatagramFlood(double datagramsPerSecond, String contentKind, List<Integer> ports, String fleet, long seed)
            throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        thread = new Thread(
                () -> {
                    try (socket) {
                        long startNs = System.nanoTime();
                        for (long sentDatagrams = 0; !closed; sentDatagrams++) {
                            byte[] bytes = buildDatagram(
                                    contentKind.equals("all")
                                            ? List.of("garbage", "fleet", "names", "words", "large")
                                                    .get((int) (sentDatagrams % 5))
                                            : contentKind,
                                    fleet,
                                    sentDatagrams,
                                    socket.getLocalPort(),
                                    random);
                            socket.send(new DatagramPacket(
                                    bytes, bytes.length, InetAddress.getLoopbackAddress(), ports.get((int)
                                            (sentDatagrams % ports.size()))));
                            long dueNs = startNs + (long) (1e9 * (sentDatagrams + 1) / datagramsPerSecond);
                            while (System.nanoTime() < dueNs && !closed) {
                                LockSupport.parkNanos(Math.max(1, dueNs - System.nanoTime()));
                            }
                        }
                    } catch (IOException e) {
                        // The receivers have closed their sockets: the flood ends.
                    }
                },
                "spartrail-flood");
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] buildDatagram(
            String contentKind, String fleet, long number, int port, RandomGenerator random) {
        switch (contentKind) {
            case "garbage" -> {
                byte[] bytes = new byte[1 + random.nextInt(1400)];
                random.nextBytes(bytes);
                return bytes;
            }
            case "large" -> {
                return new byte[20_000];
            }
            default -> {
                PeerDescriptor sender = new PeerDescriptor(
                        "invented-" + number,
                        "127.0.0.1:" + port,
                        "",
                        1,
                        "",
                        "",
                        new Incarnation(1_000_000 + number, 1),
                        0);
                // Names that exist, with incarnations that are over or never existed: a receiver that accepted them
                // would remove live nodes.
                List<PeerUpdate> updates = contentKind.equals("words")
                        ? List.of(new PeerUpdate(
                                new PeerDescriptor(
                                        "n" + number % 7,
                                        "127.0.0.1:" + port,
                                        "",
                                        1,
                                        "",
                                        "",
                                        new Incarnation(9_000_000_000_000L, 1),
                                        0),
                                PeerState.GONE,
                                0,
                                "invented-1"))
                        : List.of();
                return PeerMessageCodec.encode(
                        contentKind.equals("fleet") ? "another" : fleet,
                        new PeerMessage(
                                PeerMessage.Kind.PING, sender, PeerState.ALIVE, 1000, "n0", number, 0, null, updates));
            }
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
