package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs tasks after the I/O thread has read the sockets that are readable now. Timers cannot ensure that: the I/O thread
 * runs all that are due before it selects, so two timers may run without a selection between them after a pause.
 *
 * <p>A task first waits until the queue of the I/O thread reaches it, so that no selection is under way. Then a byte is
 * written to a pipe, which the next selection reports together with all other readable channels; what they have queued
 * behind is the task. Runs on the I/O thread, but for the constructor.
 */
final class PollBarrier {
    /** A task that waits for a selection. */
    private static final class Waiting implements XnioExecutor.Key {
        private Runnable task;

        Waiting(Runnable task) {
            this.task = task;
        }

        @Override
        public boolean remove() {
            boolean removed = task != null;
            task = null;
            return removed;
        }

        void run() {
            if (task != null) {
                Runnable due = task;
                task = null;
                due.run();
            }
        }
    }

    private final XnioIoThread io;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private final ByteBuffer signal = ByteBuffer.allocate(1);
    private List<Waiting> waiting = new ArrayList<>();

    PollBarrier(XnioIoThread io) throws IOException {
        this.io = io;
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = io.createHalfDuplexPipe();
        source = pipe.getLeftSide();
        sink = pipe.getRightSide();
        source.getReadSetter().set(channel -> onSelected());
        source.resumeReads();
    }

    /** Runs a task after all sockets that are readable now were read, unless the returned key is removed before. */
    XnioExecutor.Key afterPoll(Runnable task) {
        Waiting added = new Waiting(task);
        io.execute(() -> add(added));
        return added;
    }

    private void add(Waiting added) {
        waiting.add(added);
        if (waiting.size() == 1) {
            transfer(sink::write);
        }
    }

    private void onSelected() {
        transfer(source::read);
        List<Waiting> selected = waiting;
        waiting = new ArrayList<>();
        io.execute(() -> selected.forEach(Waiting::run));
    }

    private interface Transfer {
        int apply(ByteBuffer bytes) throws IOException;
    }

    /** Transfers the one byte that the pipe holds while tasks wait. */
    private void transfer(Transfer transfer) {
        try {
            transfer.apply(signal.clear());
        } catch (IOException e) {
            // Only after the close.
            close();
        }
    }

    /** Closes the pipe; tasks that still wait do not run. */
    void close() {
        IoUtils.safeClose(source, sink);
    }
}
