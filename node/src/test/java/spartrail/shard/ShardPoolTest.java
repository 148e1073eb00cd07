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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spartrail.endpoint.EndpointAddress;
import spartrail.model.Attempt;
import spartrail.model.Attempt.Outcome;
import spartrail.model.Invariants;
import spartrail.model.NodeClock;

/** How parts end, by what becomes of their connection. */
class ShardPoolTest {
    private final XnioWorker worker;
    private final NodeClock clock = new NodeClock();
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final Invariants invariants = new Invariants();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final Set<String> gone = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<ToyFleet.Link> links = new LinkedBlockingQueue<>();
    private double graceMs = 10_000;
    private double leaveByMs = Double.POSITIVE_INFINITY;
    private ShardPool pool;

    ShardPoolTest() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @AfterEach
    void close() throws Exception {
        io(pool::close);
        worker.shutdown();
        for (AutoCloseable each : opened) {
            each.close();
        }
        assertThat(invariants.violations()).isEmpty();
    }

    private void pool(int partsPerConnection, double connectTimeoutMs, double keepAliveMs) {
        pool = new ShardPool(
                worker.getIoThread(),
                clock,
                new ShardPool.Bounds(partsPerConnection, connectTimeoutMs, keepAliveMs, true, graceMs),
                (part, outcome, value, atMs) -> seen.add(part.id + " " + outcome),
                invariants);
    }

    private void io(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    private PartRequest part(String id) {
        return part(id, 1);
    }

    private PartRequest part(String id, int bytes) {
        Attempt send = new Attempt(null, null, 0, clock.nowMs(), 10_000);
        send.sendDeadlineMs = leaveByMs;
        return new PartRequest(send, id, 0, new byte[bytes], clock.nowMs() + 10_000, () -> !gone.contains(id));
    }

    private String next() throws InterruptedException {
        String next = seen.poll(20, TimeUnit.SECONDS);
        return next == null ? "nothing" : next;
    }

    /** An address where connecting neither succeeds nor fails: its queue of new connections is full. */
    private InetSocketAddress hanging() throws IOException {
        return (InetSocketAddress) hangingSocket().getLocalSocketAddress();
    }

    private ServerSocket hangingSocket() throws IOException {
        ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        opened.add(full);
        for (int i = 0; i < 4; i++) {
            Socket socket = new Socket();
            opened.add(socket);
            try {
                socket.connect(full.getLocalSocketAddress(), 100);
            } catch (IOException e) {
                break;
            }
        }
        return full;
    }

    /** A server that does as told with each part, and tells what it sees. */
    private InetSocketAddress toy(ToyFleet.Manner manner) throws IOException {
        ToyFleet fleet = new ToyFleet(1, 0, 0);
        opened.add(fleet);
        fleet.servers.get(0).manner = manner;
        return EndpointAddress.parse(fleet.servers.get(0).endpoint());
    }

    /** Answers, and tells on which connection each part came. */
    private class Linking implements ToyFleet.Manner {
        @Override
        public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
            links.add(link);
            link.answer(id, "OK", text);
        }
    }

    private class Silent implements ToyFleet.Manner {
        @Override
        public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
            seen.add("server: part " + id);
        }

        @Override
        public void givenUp(ToyFleet.Link link, String id) {
            seen.add("server: given up " + id);
        }

        @Override
        public void opened(ToyFleet.Link link) {
            seen.add("server: opened");
        }

        @Override
        public void closed(ToyFleet.Link link) {
            seen.add("server: closed");
        }
    }

    @Test
    void whatWaitsForItsConnectionDoesNotLeaveOnceTheServerDrainsOrTheSendIsTakenBack() throws Exception {
        pool(100, 60_000, 60_000);
        InetSocketAddress address = hanging();
        PartRequest one = part("1.0");
        PartRequest two = part("2.0");
        PartRequest three = part("3.0");
        io(() -> {
            pool.send(address, List.of(one, two));
            pool.send(address, List.of(three));
            pool.withdraw(one, Outcome.CANCELLED);
            pool.withdrawUnsent(three);
            pool.bar(address);
        });
        assertThat(List.of(next(), next(), next())).containsExactly("1.0 NOT_SENT", "3.0 NOT_SENT", "2.0 NOT_SENT");
    }

    @Test
    void aConnectionThatNeverComesUpOrIsRefusedMeansNeverRan() throws Exception {
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
    void aConnectionThatBreaksResetsWhatWasWrittenWhole() throws Exception {
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new ToyFleet.Manner() {
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
    void aResetBehindTheFramesLastByteMayHaveRunWhateverOfTheAnswerHasCome() throws Exception {
        byte[] answer = ShardFrameCodec.frame('Y', "1.0 OK 1 -\nvalue".getBytes(StandardCharsets.US_ASCII))
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
    void aResetLongAfterTheAnswerTouchesNoPart() throws Exception {
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
    void aFrameWrittenInPartNeverRan() throws Exception {
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
    void givingUpIsToldToTheServerAndASilentConnectionGetsNoMore() throws Exception {
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
    void aServerThatDoesNotReadBlocksNothingAfterTheFirstWait() throws Exception {
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
        io(() -> assertThat(pool.size()).isEqualTo(1));
    }

    @Test
    void moreConnectionsAreOpenedOnlyWhenOneIsFull() throws Exception {
        pool(2, 1000, 60_000);
        InetSocketAddress address = toy(new Silent());
        io(() -> {
            pool.send(address, List.of(part("1.0")));
            pool.send(address, List.of(part("2.0")));
        });
        assertThat(List.of(next(), next(), next()))
                .containsExactly("server: opened", "server: part 1.0", "server: part 2.0");
        io(() -> pool.send(address, List.of(part("3.0"))));
        assertThat(List.of(next(), next())).containsExactly("server: opened", "server: part 3.0");
        io(() -> assertThat(pool.size()).isEqualTo(2));
    }

    @Test
    void anUnusedConnectionIsClosedByUsBeforeTheServerDoes() throws Exception {
        pool(100, 1000, 200);
        InetSocketAddress address = toy(new Silent() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                link.answer(id, "OK", text);
            }
        });
        io(() -> pool.send(address, List.of(part("1.0"))));
        assertThat(List.of(next(), next(), next())).containsExactly("server: opened", "1.0 ANSWERED", "server: closed");
    }

    @Test
    void aCloseThatWaitsInTheSocketIsSeenBeforeAFrameIsWrittenBehindIt() throws Exception {
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
    void aConnectionUnusedForLongIsNotTakenByAProcessThatStoodStill() throws Exception {
        pool(100, 1000, 400);
        InetSocketAddress address = toy(new Linking());
        io(() -> pool.send(address, List.of(part("1.0"))));
        assertThat(next()).isEqualTo("1.0 ANSWERED");
        io(() -> {
            double untilMs = clock.nowMs() + 250;
            while (clock.nowMs() < untilMs) {
                Thread.onSpinWait();
            }
            pool.send(address, List.of(part("2.0")));
        });
        assertThat(next()).isEqualTo("2.0 ANSWERED");
        assertThat(links.take()).isNotSameAs(links.take());
    }

    @Test
    void noFrameBeginsWhileAListIsReadAndNotTaken() throws Exception {
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Silent());
        io(() -> {
            pool.hold();
            pool.send(address, List.of(part("1.0")));
        });
        assertThat(next()).isEqualTo("server: opened");
        io(() -> {
            pool.send(address, List.of(part("2.0")));
            pool.bar(address);
            pool.go(1);
        });
        assertThat(List.of(next(), next(), next()))
                .containsExactlyInAnyOrder("1.0 NOT_SENT", "2.0 NOT_SENT", "server: closed");
    }

    /** A process so slow that whatever it looks at is old when it has looked. */
    @Test
    void whereEachLookAtTheSocketsTakesTooLongFramesLeaveAllTheSame() throws Exception {
        graceMs = 0;
        pool(100, 1000, 60_000);
        InetSocketAddress address = toy(new Silent());
        PartRequest old = part("1.0");
        AtomicBoolean slow = new AtomicBoolean(true);
        Runnable[] busy = new Runnable[1];
        busy[0] = () -> {
            for (double untilMs = clock.nowMs() + 60; clock.nowMs() < untilMs; ) {
                Thread.onSpinWait();
            }
            if (slow.get()) {
                worker.getIoThread().executeAfter(busy[0], 1, TimeUnit.MILLISECONDS);
            }
        };
        io(busy[0]);
        io(() -> pool.send(address, List.of(old)));
        assertThat(List.of(next(), next())).containsExactly("server: opened", "server: part 1.0");
        slow.set(false);
    }

    /** What becomes of a part whose connection comes up when something has changed, with one behind it that may still leave. */
    private String comesUpLate(Runnable meanwhile) throws Exception {
        pool(100, 60_000, 60_000);
        ServerSocket full = hangingSocket();
        InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
        io(() -> pool.send(address, List.of(part("1.0"))));
        leaveByMs = Double.POSITIVE_INFINITY;
        io(() -> pool.send(address, List.of(part("2.0"))));
        meanwhile.run();
        while (true) {
            Socket accepted = full.accept();
            opened.add(accepted);
            accepted.setSoTimeout(3000);
            try {
                String frame = new String(accepted.getInputStream().readNBytes(8), StandardCharsets.US_ASCII);
                if (!frame.isEmpty()) {
                    return next() + ", frame " + frame.substring(5);
                }
            } catch (java.net.SocketTimeoutException e) {
                // One of those that filled the queue.
            }
        }
    }

    @Test
    void aRepeatWhoseWindowEndsBeforeItsConnectionIsUpDoesNotLeave() throws Exception {
        leaveByMs = clock.nowMs() + 300;
        assertThat(comesUpLate(() -> {
                    while (clock.nowMs() < 300) {
                        Thread.onSpinWait();
                    }
                }))
                .isEqualTo("1.0 NOT_SENT, frame 2.0");
    }

    @Test
    void whatItsClientHasLeftBeforeTheConnectionIsUpDoesNotLeave() throws Exception {
        assertThat(comesUpLate(() -> gone.add("1.0"))).isEqualTo("1.0 NOT_SENT, frame 2.0");
    }

    @Test
    void aFrameThatStopsHalfWayDoesNotGoOnOnceItMayNoLongerLeave() throws Exception {
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
        InetSocketAddress address = toy(new ToyFleet.Manner() {
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
        io(() -> assertThat(pool.size()).as("connections in use").isZero());
        io(pool::close);
        return ends;
    }

    @Test
    void whatCannotBeReadEndsAllThatIsOutOnItsConnectionBeforeTheirTimeOuts() throws Exception {
        byte[] good = ShardFrameCodec.frame('Y', "1.0 OK 1 -\nv".getBytes(StandardCharsets.US_ASCII))
                .array();
        byte[] endless = good.clone();
        endless[3] += 20;
        String neither = "1.0 MALFORMED, 2.0 MALFORMED";
        for (byte[] bytes : List.of(
                "noise".getBytes(StandardCharsets.US_ASCII),
                new byte[] {-80, 0, 0, 0, 'Y'},
                endless,
                new byte[] {0, 0, 0},
                ShardFrameCodec.frame('Y', "3.0 OK 1 -\nv".getBytes(StandardCharsets.US_ASCII))
                        .array(),
                ShardFrameCodec.frame('T', new byte[] {'-'}).array())) {
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
    void moreThanWasAskedForEndsAConnectionOnWhichNothingIsOutAndNoPart() throws Exception {
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
