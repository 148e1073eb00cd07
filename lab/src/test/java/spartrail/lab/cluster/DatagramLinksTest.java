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

/** Each trouble of a link does what it says, one way only. A last message on a sound link tells that nothing more comes. */
class DatagramLinksTest {
    private static final String LAST = "last";
    private final DatagramSocket[] sockets = {socket(), socket(), socket()};
    private final DatagramLinks links = new DatagramLinks(
            List.of(sockets[0].getLocalPort(), sockets[1].getLocalPort(), sockets[2].getLocalPort()), "rig", 1);

    DatagramLinksTest() throws IOException {}

    private static DatagramSocket socket() throws IOException {
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

    private byte[] next(int node) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[65_536], 65_536);
        sockets[node].receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    /** What node 1 gets of these from node 0 while that link is so, up to the message that tells that all is through. */
    private List<byte[]> through(Consumer<DatagramLinks.Trouble> how, byte[]... sent) throws IOException {
        DatagramLinks.Trouble trouble = new DatagramLinks.Trouble();
        how.accept(trouble);
        links.set(0, 1, trouble);
        for (byte[] bytes : sent) {
            send(0, 1, bytes);
        }
        // Node 2 gets one from node 0 after all of these were taken, and passes it on to node 1 on a sound link.
        send(0, 2, LAST.getBytes(StandardCharsets.US_ASCII));
        send(2, 1, next(2));
        List<byte[]> got = new ArrayList<>();
        for (byte[] bytes = next(1); !new String(bytes, StandardCharsets.US_ASCII).equals(LAST); bytes = next(1)) {
            got.add(bytes);
        }
        links.set(0, 1, null);
        return got;
    }

    private static byte[] message(PeerMessage.Kind kind) {
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
    void eachTroubleDoesWhatItSaysAndOnlyOneWay() throws IOException {
        byte[] one = "abcdefgh".getBytes(StandardCharsets.US_ASCII);
        assertThat(through(trouble -> {}, one)).containsExactly(one);
        assertThat(through(trouble -> trouble.cut = true, one, one)).isEmpty();
        assertThat(through(trouble -> trouble.loss = 1, one, one)).isEmpty();
        assertThat(through(trouble -> trouble.twice = 1, one)).containsExactly(one, one);
        assertThat(through(trouble -> trouble.mostBytes = 3, one))
                .containsExactly("abc".getBytes(StandardCharsets.US_ASCII));
        List<byte[]> flipped = through(trouble -> trouble.flipped = 1, one);
        int bits = 0;
        for (int i = 0; i < one.length; i++) {
            bits += Integer.bitCount((flipped.get(0)[i] ^ one[i]) & 0xff);
        }
        assertThat(bits).isEqualTo(1);
        assertThat(through(
                        trouble -> {
                            trouble.cut = true;
                            trouble.kind = "PING";
                        },
                        message(PeerMessage.Kind.PING),
                        message(PeerMessage.Kind.ACK)))
                .containsExactly(message(PeerMessage.Kind.ACK));
        links.set(0, 1, null);
        DatagramLinks.Trouble cut = new DatagramLinks.Trouble();
        cut.cut = true;
        links.set(0, 1, cut);
        send(1, 0, one);
        assertThat(next(0)).as("the other way").isEqualTo(one);
    }

    @Test
    void whatIsHeldOrThrottledComesLaterThanWhatWasSentAfterIt() throws IOException {
        for (Consumer<DatagramLinks.Trouble> how : List.<Consumer<DatagramLinks.Trouble>>of(
                trouble -> trouble.heldUntilMs = links.nowMs() + 300,
                trouble -> trouble.delayMs = 300,
                trouble -> trouble.bytesPerS = 10)) {
            assertThat(through(how, "hold".getBytes(StandardCharsets.US_ASCII))).isEmpty();
            assertThat(next(1)).isEqualTo("hold".getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Test
    void aReceiverSeesThePortThatStandsForTheSender() throws IOException {
        send(0, 1, new byte[] {1});
        DatagramPacket packet = new DatagramPacket(new byte[10], 10);
        sockets[1].receive(packet);
        assertThat("127.0.0.1:" + packet.getPort()).isEqualTo(links.address(0));
        assertThat(links.bytes(0)).isEqualTo(1);
    }

    /** Plans that exist name kinds of messages by these texts, whatever the constants are called. */
    @Test
    void kindsOfMessagesHaveThePlansTexts() {
        assertThat(Stream.of(PeerMessage.Kind.values()).map(DatagramLinks::planText))
                .containsExactly("PING", "ACK", "ASK", "FOUND", "NOT_FOUND");
    }
}
