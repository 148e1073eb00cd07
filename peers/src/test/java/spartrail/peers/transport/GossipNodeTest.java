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

/** Two nodes' sockets on loopback. What is waited for is seen in a view. */
class GossipNodeTest {
    @TempDir
    private Path folder;

    private final List<PeerTransport.Running> running = new ArrayList<>();
    private final int[] ports = {freePort(), freePort()};
    private final List<BlockingQueue<MembershipView>> views =
            List.of(new LinkedBlockingQueue<>(), new LinkedBlockingQueue<>());

    GossipNodeTest() throws IOException {}

    private static int freePort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return socket.getLocalPort();
        }
    }

    private Path file(int node, String more) throws IOException {
        Path file = folder.resolve("n" + node + ".json");
        Files.writeString(
                file,
                "{\"fleet\":\"recife\",\"name\":\"n" + node + "\",\"listen\":\"127.0.0.1:" + ports[node]
                        + "\",\"seeds\":[\"127.0.0.1:" + ports[0] + "\"],\"times\":{\"roundMs\":100,\"answerMs\":40}"
                        + more + "}");
        return file;
    }

    private PeerTransport.Running start(int node) throws IOException {
        PeerTransport.Running talk = new DatagramPeerTransport()
                .start(
                        file(node, ""),
                        folder.resolve("n" + node + ".history"),
                        1 << 20,
                        views.get(node)::add,
                        PeerChannel.NONE);
        running.add(talk);
        return talk;
    }

    private MembershipView await(int node, Predicate<MembershipView> wanted) throws InterruptedException {
        for (MembershipView view = views.get(node).poll(20, TimeUnit.SECONDS);
                view != null;
                view = views.get(node).poll(20, TimeUnit.SECONDS)) {
            if (wanted.test(view)) {
                return view;
            }
        }
        throw new AssertionError("not seen by n" + node);
    }

    @AfterEach
    void close() {
        running.forEach(PeerTransport.Running::close);
    }

    private String adminRequest(String fleet, String question) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(20_000);
            byte[] bytes = DatagramFrame.encodeText(fleet, DatagramFrame.ADMIN_REQUEST_CHANNEL, question);
            socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), ports[0]));
            DatagramPacket reply = new DatagramPacket(new byte[65_536], 65_536);
            socket.receive(reply);
            return (String) DatagramFrame.decode(reply.getData(), reply.getLength(), fleet, 65_536)
                    .payload();
        }
    }

    /**
     * The reply of a node that runs on time. Beside a full machine its mean lateness may reach the limit of 5 ms (an eighth of the
     * acknowledgement timeout above), which it has to report; after 20 s that is a failure.
     */
    private String adminReplyOnTime() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String reply = adminRequest("recife", "show 0");
        while (reply.contains("\"doubt\":\"it runs late") && System.nanoTime() < endNs) {
            views.get(0).poll(endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            reply = adminRequest("recife", "show 0");
        }
        return reply;
    }

    @Test
    void nodesExchangePresenceSettingsAndLeaving() throws Exception {
        start(0);
        PeerTransport.Running other = start(1);
        await(0, view -> view.presentCount() == 2 && view.minCount() == 2);
        await(1, view -> view.presentCount() == 2 && view.healthProblem().isEmpty());
        assertThat(other.reload(file(1, ",\"settings\":\"v8\""))).isEmpty();
        await(0, view -> view.peers().stream()
                .anyMatch(each -> each.descriptor().settingsVersion().equals("v8")));
        assertThat(adminReplyOnTime())
                .startsWith(
                        "{\"name\":\"n0\",\"standing\":\"ALIVE\",\"doubt\":\"\",\"there\":2,\"least\":2,\"most\":2,")
                .contains("\"datagrams received\":")
                .endsWith("\"peers\":[],\"next\":1}");
        assertThat(adminRequest("recife", "show 1"))
                .contains("\"name\":\"n0\"")
                .contains("\"name\":\"n1\"")
                .contains("\"settings\":\"v8\"")
                .endsWith("\"next\":-1}");
        other.leave();
        MembershipView view = await(0, seen -> seen.peers().stream().anyMatch(each -> each.state() == PeerState.LEFT));
        assertThat(view.presentCount()).isEqualTo(1);
        running.get(0).close();
        assertThat(Files.readAllLines(folder.resolve("n0.history")))
                .allMatch(line -> line.startsWith("{\"ns\":") && line.endsWith("}"))
                .anyMatch(line -> line.contains("\"of\":\"n1\"") && line.contains("\"is\":\"LEFT\""));
    }

    /** A disk that is full costs the history and nothing else. */
    @Test
    @EnabledOnOs(OS.LINUX)
    void unwritableHistoryDoesNotStopGossip() throws Exception {
        running.add(new DatagramPeerTransport()
                .start(file(0, ""), Path.of("/dev/full"), 1 << 20, views.get(0)::add, PeerChannel.NONE));
        start(1);
        await(1, view -> view.presentCount() == 2 && view.healthProblem().isEmpty());
        await(0, view -> view.presentCount() == 2);
    }

    @Test
    void datagramsOfStrangersAreDroppedAndCounted() throws Exception {
        start(0);
        await(0, view -> view.state() == PeerState.ALIVE);
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
        assertThat(adminRequest("recife", "show 0"))
                .contains(
                        "\"frames of another fleet\":1",
                        "\"frames of unknown lanes\":1",
                        "\"frames too large\":1",
                        "\"unreadable frames\":2",
                        "\"there\":1");
    }
}
