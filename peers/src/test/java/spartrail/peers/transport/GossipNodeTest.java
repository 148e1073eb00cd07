package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerState;
import spartrail.peers.PeerTransport;

/** Runs two nodes with sockets on loopback, and waits for changes of their views. */
class GossipNodeTest {
    @TempDir
    private Path folder;

    private final List<PeerTransport.Running> running = new ArrayList<>();
    private final int[] ports = {findFreePort(), findFreePort()};
    private final List<BlockingQueue<MembershipView>> views =
            List.of(new LinkedBlockingQueue<>(), new LinkedBlockingQueue<>());

    GossipNodeTest() throws IOException {}

    private static int findFreePort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return socket.getLocalPort();
        }
    }

    private Path writePeersFile(int node, String furtherFields) throws IOException {
        Path file = folder.resolve("n" + node + ".json");
        Files.writeString(
                file,
                "{\"fleet\":\"recife\",\"name\":\"n" + node + "\",\"listen\":\"127.0.0.1:" + ports[node]
                        + "\",\"seeds\":[\"127.0.0.1:" + ports[0] + "\"],\"times\":{\"roundMs\":100,\"answerMs\":40}"
                        + furtherFields + "}");
        return file;
    }

    private PeerTransport.Running start(int node) throws IOException {
        PeerTransport.Running transport = new DatagramPeerTransport()
                .start(
                        writePeersFile(node, ""),
                        folder.resolve("n" + node + ".history"),
                        1 << 20,
                        views.get(node)::add,
                        PeerChannel.NONE);
        running.add(transport);
        return transport;
    }

    private MembershipView awaitView(int node, Predicate<MembershipView> condition) throws InterruptedException {
        for (MembershipView view = views.get(node).poll(20, TimeUnit.SECONDS);
                view != null;
                view = views.get(node).poll(20, TimeUnit.SECONDS)) {
            if (condition.test(view)) {
                return view;
            }
        }
        throw new AssertionError("no view of n" + node + " met the condition within 20 s of the view before it");
    }

    @AfterEach
    void closeTransports() {
        running.forEach(PeerTransport.Running::close);
    }

    private String sendAdminRequest(String fleet, String request) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(20_000);
            byte[] bytes = DatagramFrame.encodeText(fleet, DatagramFrame.ADMIN_REQUEST_CHANNEL, request);
            socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), ports[0]));
            DatagramPacket reply = new DatagramPacket(new byte[65_536], 65_536);
            socket.receive(reply);
            return (String) DatagramFrame.decode(reply.getData(), reply.getLength(), fleet, 65_536)
                    .payload();
        }
    }

    /**
     * Requests the view of a node until the node runs on time. On a busy machine its mean lateness may reach the limit
     * of 5 ms (an eighth of the acknowledgement timeout above), which it has to report; the test fails if it still does
     * so after 20 s.
     */
    private String requestViewUntilOnTime() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String reply = sendAdminRequest("recife", "show 0");
        while (reply.contains("\"doubt\":\"it runs late") && System.nanoTime() < endNs) {
            views.get(0).poll(endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            reply = sendAdminRequest("recife", "show 0");
        }
        return reply;
    }

    @Test
    void nodesLearnOfEachOthersPresenceSettingsAndLeave() throws Exception {
        start(0);
        PeerTransport.Running other = start(1);
        awaitView(0, view -> view.presentCount() == 2 && view.minCount() == 2);
        awaitView(1, view -> view.presentCount() == 2 && view.healthProblem().isEmpty());
        assertThat(other.reload(writePeersFile(1, ",\"settings\":\"v8\""))).isEmpty();
        awaitView(0, view -> view.peers().stream()
                .anyMatch(entry -> entry.descriptor().settingsVersion().equals("v8")));
        assertThat(requestViewUntilOnTime())
                .startsWith(
                        "{\"name\":\"n0\",\"standing\":\"ALIVE\",\"doubt\":\"\",\"there\":2,\"least\":2,\"most\":2,")
                .contains("\"datagrams received\":")
                .endsWith("\"peers\":[],\"next\":1}");
        assertThat(sendAdminRequest("recife", "show 1"))
                .contains("\"name\":\"n0\"")
                .contains("\"name\":\"n1\"")
                .contains("\"settings\":\"v8\"")
                .endsWith("\"next\":-1}");
        other.leave();
        MembershipView view = awaitView(
                0, candidate -> candidate.peers().stream().anyMatch(entry -> entry.state() == PeerState.LEFT));
        assertThat(view.presentCount()).isEqualTo(1);
        running.get(0).close();
        assertThat(Files.readAllLines(folder.resolve("n0.history")))
                .allMatch(line -> line.startsWith("{\"ns\":") && line.endsWith("}"))
                .anyMatch(line -> line.contains("\"of\":\"n1\"") && line.contains("\"is\":\"LEFT\""));
    }

    /** On a full disk only the history is lost; gossip continues. */
    @Test
    @EnabledOnOs(OS.LINUX)
    void unwritableHistoryDoesNotStopGossip() throws Exception {
        running.add(new DatagramPeerTransport()
                .start(writePeersFile(0, ""), Path.of("/dev/full"), 1 << 20, views.get(0)::add, PeerChannel.NONE));
        start(1);
        awaitView(1, view -> view.presentCount() == 2 && view.healthProblem().isEmpty());
        awaitView(0, view -> view.presentCount() == 2);
    }

    @Test
    void malformedAndForeignDatagramsAreDroppedAndCounted() throws Exception {
        start(0);
        awaitView(0, view -> view.state() == PeerState.ALIVE);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (byte[] bytes : List.of(
                    new byte[3],
                    new byte[5000],
                    DatagramFrame.encodeText("jaboatao", DatagramFrame.GOSSIP_CHANNEL, "x"),
                    DatagramFrame.encodeText("recife", 9, "x"),
                    DatagramFrame.encodeText("recife", DatagramFrame.GOSSIP_CHANNEL, "x"))) {
                socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), ports[0]));
            }
        }
        assertThat(sendAdminRequest("recife", "show 0"))
                .contains(
                        "\"frames of another fleet\":1",
                        "\"frames of unknown lanes\":1",
                        "\"frames too large\":1",
                        "\"unreadable frames\":2",
                        "\"there\":1");
    }
}
