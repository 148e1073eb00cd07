package spartrail.shard;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt.Outcome;

/** Which connection a batch leaves on, and when it may not leave any more. */
class ShardPoolTest extends ShardPoolFixture {
    ShardPoolTest() throws IOException {}

    @Test
    void queuedPartsAreNotSentOnceTheServerDrainsOrTheyAreWithdrawn() throws Exception {
        createPool(100, 60_000, 60_000);
        InetSocketAddress address = hangingAddress();
        PartRequest one = createPart("1.0");
        PartRequest two = createPart("2.0");
        PartRequest three = createPart("3.0");
        runOnIoThread(() -> {
            pool.send(address, List.of(one, two));
            pool.send(address, List.of(three));
            pool.withdraw(one, Outcome.CANCELLED);
            pool.withdrawUnsent(three);
            pool.retire(address);
        });
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactly("1.0 NOT_SENT", "3.0 NOT_SENT", "2.0 NOT_SENT");
    }

    @Test
    void aFurtherConnectionIsOpenedOnlyWhenAllAreFull() throws Exception {
        createPool(2, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent());
        runOnIoThread(() -> {
            pool.send(address, List.of(createPart("1.0")));
            pool.send(address, List.of(createPart("2.0")));
        });
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactly("server: opened", "server: part 1.0", "server: part 2.0");
        runOnIoThread(() -> pool.send(address, List.of(createPart("3.0"))));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: opened", "server: part 3.0");
        runOnIoThread(() -> assertThat(pool.connectionCount()).isEqualTo(2));
    }

    @Test
    void anIdleConnectionIsClosedBeforeTheServerClosesIt() throws Exception {
        createPool(100, 1000, 200);
        InetSocketAddress address = startServer(new Silent() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                connection.sendResponse(id, "OK", text);
            }
        });
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactly("server: opened", "1.0 ANSWERED", "server: closed");
    }

    @Test
    void anExpiredIdleConnectionIsNotChosenAfterAPause() throws Exception {
        createPool(100, 1000, 400);
        InetSocketAddress address = startServer(new Linking());
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        assertThat(nextEvent()).isEqualTo("1.0 ANSWERED");
        runOnIoThread(() -> {
            double untilMs = clock.nowMs() + 250;
            while (clock.nowMs() < untilMs) {
                Thread.onSpinWait();
            }
            pool.send(address, List.of(createPart("2.0")));
        });
        assertThat(nextEvent()).isEqualTo("2.0 ANSWERED");
        assertThat(connections.take()).isNotSameAs(connections.take());
    }

    @Test
    void noFrameBeginsWhileAnEndpointUpdateIsPending() throws Exception {
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent());
        runOnIoThread(() -> {
            pool.holdFrames();
            pool.send(address, List.of(createPart("1.0")));
        });
        assertThat(nextEvent()).isEqualTo("server: opened");
        runOnIoThread(() -> {
            pool.send(address, List.of(createPart("2.0")));
            pool.retire(address);
            pool.releaseFrames(1);
        });
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactlyInAnyOrder("1.0 NOT_SENT", "2.0 NOT_SENT", "server: closed");
    }

    /** A process so slow that whatever it looks at is old when it has looked. */
    @Test
    void framesBeginAfterTheMostPollsWhereEachPollTakesTooLong() throws Exception {
        graceMs = 0;
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent());
        PartRequest old = createPart("1.0");
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
        runOnIoThread(busy[0]);
        runOnIoThread(() -> pool.send(address, List.of(old)));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: opened", "server: part 1.0");
        slow.set(false);
    }

    /** What becomes of a part whose connection comes up when something has changed, with one behind it that may still leave. */
    private String comesUpLate(Runnable meanwhile) throws Exception {
        createPool(100, 60_000, 60_000);
        ServerSocket full = openHangingSocket();
        InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        sendDeadlineMs = Double.POSITIVE_INFINITY;
        runOnIoThread(() -> pool.send(address, List.of(createPart("2.0"))));
        meanwhile.run();
        while (true) {
            Socket accepted = full.accept();
            opened.add(accepted);
            accepted.setSoTimeout(3000);
            try {
                String frame = new String(accepted.getInputStream().readNBytes(8), StandardCharsets.US_ASCII);
                if (!frame.isEmpty()) {
                    return nextEvent() + ", frame " + frame.substring(5);
                }
            } catch (java.net.SocketTimeoutException e) {
                // One of those that filled the queue.
            }
        }
    }

    @Test
    void aRetryPastItsDeduplicationWindowIsNotSent() throws Exception {
        sendDeadlineMs = clock.nowMs() + 300;
        assertThat(comesUpLate(() -> {
                    while (clock.nowMs() < 300) {
                        Thread.onSpinWait();
                    }
                }))
                .isEqualTo("1.0 NOT_SENT, frame 2.0");
    }

    @Test
    void aPartWhoseClientLeftBeforeTheConnectionIsUpIsNotSent() throws Exception {
        assertThat(comesUpLate(() -> gone.add("1.0"))).isEqualTo("1.0 NOT_SENT, frame 2.0");
    }
}
