package spartrail.lab.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.transport.PeerMessageCodec;

/**
 * Checks that each fault of a link has its effect, in one direction only. An end marker that takes links without faults
 * shows that no further datagram will arrive.
 */
class DatagramLinksTest {
    private static final String END_MARKER = "last";
    private final DatagramSocket[] sockets = {openSocket(), openSocket(), openSocket()};
    private final DatagramLinks links = new DatagramLinks(
            List.of(sockets[0].getLocalPort(), sockets[1].getLocalPort(), sockets[2].getLocalPort()), "rig", 1);

    DatagramLinksTest() throws IOException {}

    private static DatagramSocket openSocket() throws IOException {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(20_000);
        return socket;
    }

    @AfterEach
    void close() {
        links.close();
        for (DatagramSocket socket : sockets) {
            socket.close();
        }
    }

    private void send(int from, int to, byte[] bytes) throws IOException {
        String address = links.address(to);
        sockets[from].send(new DatagramPacket(
                bytes,
                bytes.length,
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(address.substring(address.indexOf(':') + 1))));
    }

    private byte[] receive(int node) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[65_536], 65_536);
        sockets[node].receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    /**
     * Sends datagrams from node 0 to node 1 over a link with a fault. Returns those that node 1 receives before the end
     * marker.
     */
    private List<byte[]> receiveThrough(Consumer<DatagramLinks.Fault> configure, byte[]... datagrams)
            throws IOException {
        DatagramLinks.Fault fault = new DatagramLinks.Fault();
        configure.accept(fault);
        links.setFault(0, 1, fault);
        for (byte[] bytes : datagrams) {
            send(0, 1, bytes);
        }
        // The end marker goes from node 0 to node 2 behind these datagrams; node 2 sends it to node 1 without a fault.
        send(0, 2, END_MARKER.getBytes(StandardCharsets.US_ASCII));
        send(2, 1, receive(2));
        List<byte[]> received = new ArrayList<>();
        for (byte[] bytes = receive(1);
                !new String(bytes, StandardCharsets.US_ASCII).equals(END_MARKER);
                bytes = receive(1)) {
            received.add(bytes);
        }
        links.setFault(0, 1, null);
        return received;
    }

    private static byte[] encodeMessage(PeerMessage.Kind kind) {
        return PeerMessageCodec.encode(
                "rig",
                new PeerMessage(
                        kind,
                        new PeerDescriptor("n0", "127.0.0.1:1", "", 1, "", "", new Incarnation(1, 1), 0),
                        PeerState.ALIVE,
                        1,
                        "n1",
                        2,
                        3,
                        null,
                        List.of()));
    }

    @Test
    void eachFaultHasItsEffectInOneDirectionOnly() throws IOException {
        byte[] payload = "abcdefgh".getBytes(StandardCharsets.US_ASCII);
        assertThat(receiveThrough(fault -> {}, payload)).containsExactly(payload);
        assertThat(receiveThrough(fault -> fault.cut = true, payload, payload)).isEmpty();
        assertThat(receiveThrough(fault -> fault.lossProbability = 1, payload, payload))
                .isEmpty();
        assertThat(receiveThrough(fault -> fault.duplicateProbability = 1, payload))
                .containsExactly(payload, payload);
        assertThat(receiveThrough(fault -> fault.maxBytes = 3, payload))
                .containsExactly("abc".getBytes(StandardCharsets.US_ASCII));
        List<byte[]> flipped = receiveThrough(fault -> fault.bitFlipProbability = 1, payload);
        int bits = 0;
        for (int i = 0; i < payload.length; i++) {
            bits += Integer.bitCount((flipped.get(0)[i] ^ payload[i]) & 0xff);
        }
        assertThat(bits).isEqualTo(1);
        assertThat(receiveThrough(
                        fault -> {
                            fault.cut = true;
                            fault.messageKind = "PING";
                        },
                        encodeMessage(PeerMessage.Kind.PING),
                        encodeMessage(PeerMessage.Kind.ACK)))
                .containsExactly(encodeMessage(PeerMessage.Kind.ACK));
        links.setFault(0, 1, null);
        DatagramLinks.Fault cut = new DatagramLinks.Fault();
        cut.cut = true;
        links.setFault(0, 1, cut);
        send(1, 0, payload);
        assertThat(receive(0)).as("the opposite direction has no fault").isEqualTo(payload);
    }

    @Test
    void heldDelayedAndThrottledDatagramsArriveAfterLaterOnes() throws IOException {
        for (Consumer<DatagramLinks.Fault> configure : List.<Consumer<DatagramLinks.Fault>>of(
                fault -> fault.heldUntilMs = links.nowMs() + 300,
                fault -> fault.delayMs = 300,
                fault -> fault.bytesPerSecond = 10)) {
            assertThat(receiveThrough(configure, "hold".getBytes(StandardCharsets.US_ASCII)))
                    .isEmpty();
            assertThat(receive(1)).isEqualTo("hold".getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Test
    void receiverSeesTheLinkPortOfTheSender() throws IOException {
        send(0, 1, new byte[] {1});
        DatagramPacket packet = new DatagramPacket(new byte[10], 10);
        sockets[1].receive(packet);
        assertThat("127.0.0.1:" + packet.getPort()).isEqualTo(links.address(0));
        assertThat(links.sentBytes(0)).isEqualTo(1);
    }

    /** Existing plans name message kinds by these texts, whatever the names of the enum constants. */
    @Test
    void messageKindsKeepTheirTextsInPlans() {
        assertThat(Stream.of(PeerMessage.Kind.values()).map(DatagramLinks::planText))
                .containsExactly("PING", "ACK", "ASK", "FOUND", "NOT_FOUND");
    }
}
