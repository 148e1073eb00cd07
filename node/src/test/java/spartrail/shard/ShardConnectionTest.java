package spartrail.shard;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt.Outcome;

/** How parts end, by what becomes of their connection. */
class ShardConnectionTest extends ShardPoolFixture {
    ShardConnectionTest() throws IOException {}

    @Test
    void partsOfAConnectionThatIsNeverEstablishedNeverRan() throws Exception {
        createPool(100, 50, 60_000);
        InetSocketAddress address = hangingAddress();
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"), createPart("2.0"))));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("1.0 CONNECT_FAILED", "2.0 CONNECT_FAILED");
        ServerSocket gone = new ServerSocket(0);
        gone.close();
        runOnIoThread(
                () -> pool.send(new InetSocketAddress("127.0.0.1", gone.getLocalPort()), List.of(createPart("3.0"))));
        assertThat(nextEvent()).isEqualTo("3.0 CONNECT_FAILED");
    }

    @Test
    void completelyWrittenPartsAreResetByABrokenConnection() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                if (id.equals("2.0")) {
                    connection.close();
                } else {
                    connection.sendResponse(id, "ERROR", "");
                    connection.sendResponse(id, "OK", "twice");
                }
            }
        });
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        assertThat(nextEvent()).isEqualTo("1.0 ERROR");
        runOnIoThread(() -> pool.send(address, List.of(createPart("2.0"), createPart("3.0"))));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactlyInAnyOrder("2.0 RESET", "3.0 RESET");
    }

    /** What becomes of a part whose server has read its frame, sends these bytes and resets the connection. */
    private String resetAfter(byte[] bytes) throws Exception {
        createPool(100, 1000, 60_000);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            runOnIoThread(
                    () -> pool.send((InetSocketAddress) server.getLocalSocketAddress(), List.of(createPart("1.0"))));
            Socket accepted = server.accept();
            DataInputStream in = new DataInputStream(accepted.getInputStream());
            in.readFully(new byte[in.readInt()]);
            accepted.getOutputStream().write(bytes);
            accepted.setSoLinger(true, 0);
            accepted.close();
            String end = nextEvent();
            runOnIoThread(pool::close);
            return end;
        }
    }

    @Test
    void aResetAfterTheFramesLastByteMayHaveRunWhateverPartOfTheResponseCame() throws Exception {
        byte[] answer = ShardFrameCodec.encodeFrame('Y', "1.0 OK 1 -\nvalue".getBytes(StandardCharsets.US_ASCII))
                .array();
        int line = 5 + "1.0 OK 1 -\n".length();
        StringBuilder table = new StringBuilder();
        for (int sent : List.of(0, 2, 5, 8, line, line + 3)) {
            table.append(sent)
                    .append(' ')
                    .append(resetAfter(Arrays.copyOf(answer, sent)))
                    .append('\n');
        }
        assertThat(table.toString())
                .isEqualTo("0 1.0 RESET\n2 1.0 RESET\n5 1.0 RESET\n8 1.0 RESET\n16 1.0 RESET\n19 1.0 RESET\n");
    }

    @Test
    void aResetLongAfterTheResponseEndsNoPart() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                connection.sendResponse(id, "OK", text);
                connection.close();
            }
        });
        for (int i = 0; i < 3; i++) {
            String id = i + ".0";
            runOnIoThread(() -> pool.send(address, List.of(createPart(id))));
            assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                    .containsExactlyInAnyOrder("server: opened", id + " ANSWERED", "server: closed");
        }
    }

    @Test
    void aPartiallyWrittenFrameNeverRan() throws Exception {
        createPool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        PartRequest big = createPart("1.0", 32 * 1024 * 1024);
        runOnIoThread(() -> pool.send((InetSocketAddress) deaf.getLocalSocketAddress(), List.of(big)));
        Socket accepted = deaf.accept();
        accepted.getInputStream().read();
        accepted.setSoLinger(true, 0);
        accepted.close();
        assertThat(nextEvent()).isEqualTo("1.0 CONNECT_FAILED");
    }

    @Test
    void withdrawalsAreSentToTheServerAndASilentConnectionIsDrained() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent());
        PartRequest one = createPart("1.0");
        PartRequest two = createPart("2.0");
        runOnIoThread(() -> pool.send(address, List.of(one)));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: opened", "server: part 1.0");
        runOnIoThread(() -> pool.withdraw(one, Outcome.CANCELLED));
        assertThat(List.of(nextEvent(), nextEvent()))
                .containsExactlyInAnyOrder("1.0 CANCELLED", "server: cancelled 1.0");
        runOnIoThread(() -> pool.send(address, List.of(two)));
        assertThat(nextEvent()).isEqualTo("server: part 2.0");
        runOnIoThread(() -> {
            pool.withdraw(two, Outcome.TIMED_OUT);
            pool.send(address, List.of(createPart("3.0")));
        });
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent(), nextEvent(), nextEvent()))
                .containsExactlyInAnyOrder(
                        "2.0 TIMED_OUT",
                        "server: cancelled 2.0",
                        "server: closed",
                        "server: opened",
                        "server: part 3.0");
    }

    @Test
    void aServerThatDoesNotReadBlocksNothingAfterTheFirstTimeout() throws Exception {
        createPool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        InetSocketAddress address = (InetSocketAddress) deaf.getLocalSocketAddress();
        PartRequest big = createPart("1.0", 32 * 1024 * 1024);
        PartRequest behind = createPart("2.0");
        runOnIoThread(() -> pool.send(address, List.of(big)));
        Socket first = deaf.accept();
        opened.add(first);
        first.getInputStream().read();
        runOnIoThread(() -> {
            pool.send(address, List.of(behind));
            pool.withdraw(behind, Outcome.TIMED_OUT);
            pool.withdraw(big, Outcome.TIMED_OUT);
            pool.send(address, List.of(createPart("3.0")));
        });
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("2.0 NOT_SENT", "1.0 TIMED_OUT");
        Socket second = deaf.accept();
        opened.add(second);
        assertThat(second.getInputStream().readNBytes(10)).endsWith("3.0 0".getBytes(StandardCharsets.US_ASCII));
        runOnIoThread(() -> assertThat(pool.connectionCount()).isEqualTo(1));
    }

    @Test
    void aCloseWaitingInTheSocketIsReadBeforeAFrameIsWritten() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Linking());
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        assertThat(nextEvent()).isEqualTo("1.0 ANSWERED");
        ToyFleet.Connection connection = connections.take();
        runOnIoThread(() -> {
            try {
                connection.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            pool.send(address, List.of(createPart("2.0")));
        });
        assertThat(nextEvent()).isEqualTo("2.0 ANSWERED");
        assertThat(connections.take()).isNotSameAs(connection);
    }

    @Test
    void aFrameStoppedHalfWayIsNotContinuedPastItsDeadline() throws Exception {
        createPool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        sendDeadlineMs = clock.nowMs() + 500;
        int bytes = 32 * 1024 * 1024;
        runOnIoThread(
                () -> pool.send((InetSocketAddress) deaf.getLocalSocketAddress(), List.of(createPart("1.0", bytes))));
        Socket accepted = deaf.accept();
        opened.add(accepted);
        accepted.setSoTimeout(20_000);
        accepted.getInputStream().read();
        while (clock.nowMs() < sendDeadlineMs + 10) {
            Thread.onSpinWait();
        }
        long got = 0;
        try {
            for (int n = 0; n >= 0; n = accepted.getInputStream().read(new byte[1 << 16])) {
                got += n;
            }
        } catch (java.io.IOException e) {
            // Reset, or no end.
        }
        assertThat(nextEvent()).isEqualTo("1.0 CONNECT_FAILED");
        assertThat(got).isLessThan(bytes);
    }

    /** What a server sends for part 1.0, and what then becomes of it and of 2.0, which is out on the same connection. */
    private String spoilt(byte[] bytes) throws Exception {
        createPool(100, 50, 60_000);
        CountDownLatch both = new CountDownLatch(2);
        InetSocketAddress address = startServer(new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                both.countDown();
                if (both.getCount() == 0) {
                    connection.sendBytes(bytes);
                }
            }
        });
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"), createPart("2.0"))));
        String ends = Stream.of(nextEvent(), nextEvent()).sorted().collect(Collectors.joining(", "));
        runOnIoThread(() ->
                assertThat(pool.connectionCount()).as("connections in use").isZero());
        runOnIoThread(pool::close);
        return ends;
    }

    @Test
    void aMalformedFrameEndsAllPartsOfItsConnectionBeforeTheirTimeouts() throws Exception {
        byte[] good = ShardFrameCodec.encodeFrame('Y', "1.0 OK 1 -\nv".getBytes(StandardCharsets.US_ASCII))
                .array();
        byte[] endless = good.clone();
        endless[3] += 20;
        String neither = "1.0 MALFORMED, 2.0 MALFORMED";
        for (byte[] bytes : List.of(
                "noise".getBytes(StandardCharsets.US_ASCII),
                new byte[] {-80, 0, 0, 0, 'Y'},
                endless,
                new byte[] {0, 0, 0},
                ShardFrameCodec.encodeFrame('Y', "3.0 OK 1 -\nv".getBytes(StandardCharsets.US_ASCII))
                        .array(),
                ShardFrameCodec.encodeFrame('T', new byte[] {'-'}).array())) {
            assertThat(spoilt(bytes)).isEqualTo(neither);
        }
        byte[] behind = ByteBuffer.allocate(2 * good.length + 3)
                .put(good)
                .put(good)
                .put(new byte[] {9, 9, 9})
                .array();
        assertThat(spoilt(behind)).isEqualTo("1.0 ANSWERED, 2.0 MALFORMED");
    }

    @Test
    void unrequestedBytesCloseAnIdleConnectionAndEndNoPart() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                connection.sendResponse(id, "OK", text);
                connection.sendResponse(id, "OK", text);
                connection.sendBytes(new byte[] {0, 0});
            }
        });
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactly("server: opened", "1.0 ANSWERED", "server: closed");
        runOnIoThread(() -> pool.send(address, List.of(createPart("2.0"))));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: opened", "2.0 ANSWERED");
    }
}
