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
        pool(100, 50, 60_000);
        InetSocketAddress address = hanging();
        io(() -> pool.send(address, List.of(part("1.0"), part("2.0"))));
        assertThat(List.of(next(), next())).containsExactly("1.0 CONNECT_FAILED", "2.0 CONNECT_FAILED");
        ServerSocket gone = new ServerSocket(0);
        gone.close();
        io(() -> pool.send(new InetSocketAddress("127.0.0.1", gone.getLocalPort()), List.of(part("3.0"))));
        assertThat(next()).isEqualTo("3.0 CONNECT_FAILED");
    }

    @Test
    void completelyWrittenPartsAreResetByABrokenConnection() throws Exception {
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new ToyFleet.ServerBehavior() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                if (id.equals("2.0")) {
                    link.close();
                } else {
                    link.answer(id, "ERROR", "");
                    link.answer(id, "OK", "twice");
                }
            }
        });
        io(() -> pool.send(address, List.of(part("1.0"))));
        assertThat(next()).isEqualTo("1.0 ERROR");
        io(() -> pool.send(address, List.of(part("2.0"), part("3.0"))));
        assertThat(List.of(next(), next())).containsExactlyInAnyOrder("2.0 RESET", "3.0 RESET");
    }

    /** What becomes of a part whose server has read its frame, sends these bytes and resets the connection. */
    private String resetAfter(byte[] bytes) throws Exception {
        pool(100, 1000, 60_000);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            io(() -> pool.send((InetSocketAddress) server.getLocalSocketAddress(), List.of(part("1.0"))));
            Socket accepted = server.accept();
            DataInputStream in = new DataInputStream(accepted.getInputStream());
            in.readFully(new byte[in.readInt()]);
            accepted.getOutputStream().write(bytes);
            accepted.setSoLinger(true, 0);
            accepted.close();
            String end = next();
            io(pool::close);
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
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Silent() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                link.answer(id, "OK", text);
                link.close();
            }
        });
        for (int i = 0; i < 3; i++) {
            String id = i + ".0";
            io(() -> pool.send(address, List.of(part(id))));
            assertThat(List.of(next(), next(), next()))
                    .containsExactlyInAnyOrder("server: opened", id + " ANSWERED", "server: closed");
        }
    }

    @Test
    void aPartiallyWrittenFrameNeverRan() throws Exception {
        pool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        PartRequest big = part("1.0", 32 * 1024 * 1024);
        io(() -> pool.send((InetSocketAddress) deaf.getLocalSocketAddress(), List.of(big)));
        Socket accepted = deaf.accept();
        accepted.getInputStream().read();
        accepted.setSoLinger(true, 0);
        accepted.close();
        assertThat(next()).isEqualTo("1.0 CONNECT_FAILED");
    }

    @Test
    void withdrawalsAreSentToTheServerAndASilentConnectionIsDrained() throws Exception {
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Silent());
        PartRequest one = part("1.0");
        PartRequest two = part("2.0");
        io(() -> pool.send(address, List.of(one)));
        assertThat(List.of(next(), next())).containsExactly("server: opened", "server: part 1.0");
        io(() -> pool.withdraw(one, Outcome.CANCELLED));
        assertThat(List.of(next(), next())).containsExactlyInAnyOrder("1.0 CANCELLED", "server: given up 1.0");
        io(() -> pool.send(address, List.of(two)));
        assertThat(next()).isEqualTo("server: part 2.0");
        io(() -> {
            pool.withdraw(two, Outcome.TIMED_OUT);
            pool.send(address, List.of(part("3.0")));
        });
        assertThat(List.of(next(), next(), next(), next(), next()))
                .containsExactlyInAnyOrder(
                        "2.0 TIMED_OUT",
                        "server: given up 2.0",
                        "server: closed",
                        "server: opened",
                        "server: part 3.0");
    }

    @Test
    void aServerThatDoesNotReadBlocksNothingAfterTheFirstTimeout() throws Exception {
        pool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        InetSocketAddress address = (InetSocketAddress) deaf.getLocalSocketAddress();
        PartRequest big = part("1.0", 32 * 1024 * 1024);
        PartRequest behind = part("2.0");
        io(() -> pool.send(address, List.of(big)));
        Socket first = deaf.accept();
        opened.add(first);
        first.getInputStream().read();
        io(() -> {
            pool.send(address, List.of(behind));
            pool.withdraw(behind, Outcome.TIMED_OUT);
            pool.withdraw(big, Outcome.TIMED_OUT);
            pool.send(address, List.of(part("3.0")));
        });
        assertThat(List.of(next(), next())).containsExactly("2.0 NOT_SENT", "1.0 TIMED_OUT");
        Socket second = deaf.accept();
        opened.add(second);
        assertThat(second.getInputStream().readNBytes(10)).endsWith("3.0 0".getBytes(StandardCharsets.US_ASCII));
        io(() -> assertThat(pool.connectionCount()).isEqualTo(1));
    }

    @Test
    void aCloseWaitingInTheSocketIsReadBeforeAFrameIsWritten() throws Exception {
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Linking());
        io(() -> pool.send(address, List.of(part("1.0"))));
        assertThat(next()).isEqualTo("1.0 ANSWERED");
        ToyFleet.Link link = links.take();
        io(() -> {
            try {
                link.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            pool.send(address, List.of(part("2.0")));
        });
        assertThat(next()).isEqualTo("2.0 ANSWERED");
        assertThat(links.take()).isNotSameAs(link);
    }

    @Test
    void aFrameStoppedHalfWayIsNotContinuedPastItsDeadline() throws Exception {
        pool(100, 1000, 60_000);
        ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        opened.add(deaf);
        leaveByMs = clock.nowMs() + 500;
        int bytes = 32 * 1024 * 1024;
        io(() -> pool.send((InetSocketAddress) deaf.getLocalSocketAddress(), List.of(part("1.0", bytes))));
        Socket accepted = deaf.accept();
        opened.add(accepted);
        accepted.setSoTimeout(20_000);
        accepted.getInputStream().read();
        while (clock.nowMs() < leaveByMs + 10) {
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
        assertThat(next()).isEqualTo("1.0 CONNECT_FAILED");
        assertThat(got).isLessThan(bytes);
    }

    /** What a server sends for part 1.0, and what then becomes of it and of 2.0, which is out on the same connection. */
    private String spoilt(byte[] bytes) throws Exception {
        pool(100, 50, 60_000);
        CountDownLatch both = new CountDownLatch(2);
        InetSocketAddress address = toy(new ToyFleet.ServerBehavior() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                both.countDown();
                if (both.getCount() == 0) {
                    link.raw(bytes);
                }
            }
        });
        io(() -> pool.send(address, List.of(part("1.0"), part("2.0"))));
        String ends = Stream.of(next(), next()).sorted().collect(Collectors.joining(", "));
        io(() -> assertThat(pool.connectionCount()).as("connections in use").isZero());
        io(pool::close);
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
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Silent() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                link.answer(id, "OK", text);
                link.answer(id, "OK", text);
                link.raw(new byte[] {0, 0});
            }
        });
        io(() -> pool.send(address, List.of(part("1.0"))));
        assertThat(List.of(next(), next(), next())).containsExactly("server: opened", "1.0 ANSWERED", "server: closed");
        io(() -> pool.send(address, List.of(part("2.0"))));
        assertThat(List.of(next(), next())).containsExactly("server: opened", "2.0 ANSWERED");
    }
}
