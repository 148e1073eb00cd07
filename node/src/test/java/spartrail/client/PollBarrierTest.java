package spartrail.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

class PollBarrierTest {
    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final XnioIoThread io = worker.getIoThread();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    PollBarrierTest() throws IOException {}

    @AfterEach
    void close() {
        worker.shutdown();
    }

    /** Adds an event when the channel is read; returns the side to which bytes for it are written. */
    private StreamSinkChannel createChannel(String event, Runnable onRead) throws IOException {
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = io.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(source -> {
            read(source);
            events.add(event);
            onRead.run();
        });
        pipe.getLeftSide().resumeReads();
        return pipe.getRightSide();
    }

    private static void read(StreamSourceChannel source) {
        try {
            source.read(ByteBuffer.allocate(1));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void write(StreamSinkChannel sink) {
        try {
            sink.write(ByteBuffer.allocate(1));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Holds up the I/O thread for longer than any delay with which it might be asked to select before. */
    private static void pause() {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    /** Guards against a close of an idle connection whose request has arrived, after a pause of the process. */
    @Test
    void aTaskRunsAfterAReadableChannelWasReadThoughTheThreadPaused() throws Exception {
        PollBarrier barrier = new PollBarrier(io);
        StreamSinkChannel channel = createChannel("read", () -> {});
        io.execute(() -> {
            write(channel);
            barrier.afterPoll(() -> events.add("task"));
            pause();
        });
        assertThat(nextEvent()).isEqualTo("read");
        assertThat(nextEvent()).isEqualTo("task");
    }

    /** Guards against a task that takes the selection under way, which is older than it, for the next one. */
    @Test
    void aTaskThatAReadAddsWaitsForTheNextSelection() throws Exception {
        PollBarrier barrier = new PollBarrier(io);
        StreamSinkChannel second = createChannel("second read", () -> {});
        StreamSinkChannel first = createChannel("first read", () -> {
            barrier.afterPoll(() -> events.add("second task"));
            write(second);
        });
        io.execute(() -> {
            write(first);
            barrier.afterPoll(() -> events.add("first task"));
        });
        assertThat(nextEvent()).isEqualTo("first read");
        assertThat(nextEvent()).isEqualTo("first task");
        assertThat(nextEvent()).isEqualTo("second read");
        assertThat(nextEvent()).isEqualTo("second task");
    }

    @Test
    void aRemovedTaskDoesNotRun() throws Exception {
        PollBarrier barrier = new PollBarrier(io);
        io.execute(() -> {
            XnioExecutor.Key removed = barrier.afterPoll(() -> events.add("removed"));
            barrier.afterPoll(() -> events.add("kept"));
            assertThat(removed.remove()).isTrue();
            assertThat(removed.remove()).isFalse();
        });
        assertThat(nextEvent()).isEqualTo("kept");
        assertThat(events).isEmpty();
    }
}
