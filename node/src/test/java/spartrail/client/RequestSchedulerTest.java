package spartrail.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import spartrail.client.RequestScheduler.Turn;
import spartrail.model.NodeClock;

class RequestSchedulerTest {
    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final XnioIoThread io = worker.getIoThread();
    private final RequestScheduler scheduler = new RequestScheduler(io, new PollBarrier(io), new NodeClock());
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    RequestSchedulerTest() throws IOException {}

    @AfterEach
    void close() {
        worker.shutdown();
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    /** Guards against a second turn of a connection for which two tasks waited, before the turns of others. */
    @Test
    void aFurtherTaskOfAConnectionReplacesTheOneThatWaits() throws Exception {
        io.execute(() -> {
            Turn turn = new Turn(0);
            scheduler.runInTurn(turn, () -> events.add("close"));
            scheduler.runInTurn(turn, () -> {
                events.add("next request");
                scheduler.runInTurn(turn, () -> events.add("request after it"));
            });
            scheduler.runInTurn(new Turn(1), () -> events.add("other connection"));
        });
        assertThat(nextEvent()).isEqualTo("next request");
        assertThat(nextEvent()).isEqualTo("other connection");
        assertThat(nextEvent()).isEqualTo("request after it");
        assertThat(events).isEmpty();
    }

    /** Guards against connections that never have a turn again. */
    @Test
    void aTurnThatThrowsDoesNotStopTheOthers() throws Exception {
        io.execute(() -> {
            scheduler.runInTurn(new Turn(0), () -> {
                throw new IllegalStateException("provoked by this test");
            });
            scheduler.runInTurn(new Turn(1), () -> events.add("other connection"));
        });
        assertThat(nextEvent()).isEqualTo("other connection");
    }

    /** Guards against timers and other sockets that wait for a connection whose requests never end. */
    @Test
    void timersRunBesideAConnectionThatAlwaysHasARequest() throws Exception {
        Turn turn = new Turn(0);
        io.execute(() -> handleAgain(turn));
        io.execute(() -> io.executeAfter(() -> events.add("timer"), 20, TimeUnit.MILLISECONDS));
        assertThat(nextEvent()).isEqualTo("timer");
    }

    private void handleAgain(Turn turn) {
        scheduler.runInTurn(turn, () -> io.execute(() -> handleAgain(turn)));
    }

    @Test
    void aConnectionIsNotReadWhileItsTurnIsAwaited() throws Exception {
        io.execute(() -> {
            Turn first = new Turn(0);
            events.add("first " + scheduler.mayRead(first, () -> {}));
            scheduler.countRead(first, 1_000_000);
            events.add("beyond its share " + scheduler.mayRead(first, () -> events.add("its next turn")));
            events.add("awaited " + scheduler.mayRead(first, () -> events.add("twice")));
        });
        assertThat(nextEvent()).isEqualTo("first true");
        assertThat(nextEvent()).isEqualTo("beyond its share false");
        assertThat(nextEvent()).isEqualTo("awaited false");
        assertThat(nextEvent()).isEqualTo("its next turn");
        assertThat(events).isEmpty();
    }
}
