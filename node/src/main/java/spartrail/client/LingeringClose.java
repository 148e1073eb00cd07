package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * How a client's connection ends, so that what was written on it arrives whatever the client still sends. Danger: a close
 * over unread bytes resets the connection, and what its client has not read yet of an answer goes with it.
 *
 * <pre>
 *               bytes come               end, reset   MOST_BYTES came       LONGEST_MS are over
 * HALF_CLOSED   read and thrown away     closed       on to DEAF            closed
 * DEAF          stay in the system       not seen     -                     closed
 * </pre>
 *
 * <p>In both nothing is written, and nothing that was read is taken for a request. All of it runs on the I/O thread.
 */
final class LingeringClose {
    /** A client that reads what it was sent needs no longer, and none may hold a descriptor for longer. */
    private static final long LONGEST_MS = 1000;
    /** More than any request; who sends on is not read any more. */
    private static final long MOST_BYTES = 256 * 1024;

    private final StreamConnection connection;
    private final StreamSourceConduit source;
    private final ByteBuffer thrownAway;
    private final XnioExecutor.Key timer;
    private long bytes;

    private LingeringClose(StreamConnection connection, StreamSourceConduit source, ByteBuffer thrownAway) {
        this.connection = connection;
        this.source = source;
        this.thrownAway = thrownAway;
        timer = connection
                .getIoThread()
                .executeAfter(() -> IoUtils.safeClose(connection), LONGEST_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends a connection by its own conduits, of which nothing else makes use any more. */
    static void begin(
            StreamConnection connection, StreamSinkConduit sink, StreamSourceConduit source, ByteBuffer thrownAway) {
        try {
            sink.suspendWrites();
            sink.terminateWrites();
            sink.flush();
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        LingeringClose end = new LingeringClose(connection, source, thrownAway);
        connection.getSourceChannel().setReadListener(channel -> end.readable());
        source.resumeReads();
        end.readable();
    }

    private void readable() {
        try {
            int got = 0;
            while (bytes < MOST_BYTES && (got = source.read(thrownAway.clear())) > 0) {
                bytes += got;
            }
            if (got < 0) {
                close();
            } else if (bytes >= MOST_BYTES) {
                source.suspendReads();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        timer.remove();
        IoUtils.safeClose(connection);
    }
}
