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

/** The choice of a connection for a batch, and the conditions under which parts are not sent any more. */
class ShardPoolTest extends ShardPoolFixture {
    ShardPoolTest() throws IOException {}

    @Test
    void queuedPartsAreNotSentOnceTheServerDrainsOrTheyAreWithdrawn() throws Exception {
        createPool(100, 60_000, 60_000);
        InetSocketAddress address = openHangingAddress();
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
                .containsExactly("server: connected", "server: part 1.0", "server: part 2.0");
        runOnIoThread(() -> pool.send(address, List.of(createPart("3.0"))));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: connected", "server: part 3.0");
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
                .containsExactly("server: connected", "1.0 ANSWERED", "server: disconnected");
    }

    @Test
    void anExpiredIdleConnectionIsNotChosenAfterAPause() throws Exception {
        createPool(100, 1000, 400);
        InetSocketAddress address = startServer(new ConnectionRecording());
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
        assertThat(nextEvent()).isEqualTo("server: connected");
        runOnIoThread(() -> {
            pool.send(address, List.of(createPart("2.0")));
            pool.retire(address);
            pool.releaseFrames(1);
        });
        assertThat(List.of(nextEvent(), nextEvent(), nextEvent()))
                .containsExactlyInAnyOrder("1.0 NOT_SENT", "2.0 NOT_SENT", "server: disconnected");
    }

    /** On a very slow machine each poll takes longer than the age limit; frames must be sent all the same. */
    @Test
    void framesBeginAfterTheMaximumOfPollsIfEachPollTakesTooLong() throws Exception {
        graceMs = 0;
        createPool(100, 1000, 60_000);
        InetSocketAddress address = startServer(new Silent());
        PartRequest old = createPart("1.0");
        AtomicBoolean slow = new AtomicBoolean(true);
        Runnable[] spinRepeatedly = new Runnable[1];
        spinRepeatedly[0] = () -> {
            for (double untilMs = clock.nowMs() + 60; clock.nowMs() < untilMs; ) {
                Thread.onSpinWait();
            }
            if (slow.get()) {
                worker.getIoThread().executeAfter(spinRepeatedly[0], 1, TimeUnit.MILLISECONDS);
            }
        };
        runOnIoThread(spinRepeatedly[0]);
        runOnIoThread(() -> pool.send(address, List.of(old)));
        assertThat(List.of(nextEvent(), nextEvent())).containsExactly("server: connected", "server: part 1.0");
        slow.set(false);
    }

    /**
     * Queues two parts on a connection that is established only after the given change, which makes the first part
     * unsendable. Returns the outcome of the first part and the id in the first frame.
     */
    private String connectAfter(Runnable change) throws Exception {
        createPool(100, 60_000, 60_000);
        ServerSocket full = openHangingSocket();
        InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
        runOnIoThread(() -> pool.send(address, List.of(createPart("1.0"))));
        sendDeadlineMs = Double.POSITIVE_INFINITY;
        runOnIoThread(() -> pool.send(address, List.of(createPart("2.0"))));
        change.run();
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
                // One of the connections that filled the backlog.
            }
        }
    }

    /** For a retry, the send deadline is the end of the server's deduplication window. */
    @Test
    void aPartPastItsSendDeadlineIsNotSent() throws Exception {
        sendDeadlineMs = clock.nowMs() + 300;
        assertThat(connectAfter(() -> {
                    while (clock.nowMs() < 300) {
                        Thread.onSpinWait();
                    }
                }))
                .isEqualTo("1.0 NOT_SENT, frame 2.0");
    }

    @Test
    void aPartWhoseClientDisconnectsBeforeTheConnectIsNotSent() throws Exception {
        assertThat(connectAfter(() -> disconnected.add("1.0"))).isEqualTo("1.0 NOT_SENT, frame 2.0");
    }
}
