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
 * How a client's connection ends, so that what was written on it arrives whatever the client still sends: a close over unread bytes
 * would reset the connection, and what its client has not read yet of a response would be lost with it.
 *
 * <pre>
 *               bytes come               end, reset   MAX_DISCARDED_BYTES came   TIMEOUT_MS are over
 * HALF_CLOSED   read and discarded       closed       on to NOT_READ             closed
 * NOT_READ      stay in the system       not seen     -                          closed
 * </pre>
 *
 * <p>In both nothing is written, and nothing that was read is taken for a request. All of it runs on the I/O thread.
 */
final class LingeringClose {
    /** A client that reads what it was sent needs no longer, and none may hold a descriptor for longer. */
    private static final long TIMEOUT_MS = 1000;
    /** More than any request; who sends on is not read any more. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private final StreamConnection connection;
    private final StreamSourceConduit source;
    private final ByteBuffer discardBuffer;
    private final XnioExecutor.Key timeout;
    private long discardedBytes;

    private LingeringClose(StreamConnection connection, StreamSourceConduit source, ByteBuffer discardBuffer) {
        this.connection = connection;
        this.source = source;
        this.discardBuffer = discardBuffer;
        timeout = connection
                .getIoThread()
                .executeAfter(() -> IoUtils.safeClose(connection), TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends a connection by its own conduits, of which nothing else makes use any more. */
    static void begin(
            StreamConnection connection, StreamSinkConduit sink, StreamSourceConduit source, ByteBuffer discardBuffer) {
        try {
            sink.suspendWrites();
            sink.terminateWrites();
            sink.flush();
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        LingeringClose lingering = new LingeringClose(connection, source, discardBuffer);
        connection.getSourceChannel().setReadListener(channel -> lingering.onReadable());
        source.resumeReads();
        lingering.onReadable();
    }

    private void onReadable() {
        try {
            int count = 0;
            while (discardedBytes < MAX_DISCARDED_BYTES && (count = source.read(discardBuffer.clear())) > 0) {
                discardedBytes += count;
            }
            if (count < 0) {
                close();
            } else if (discardedBytes >= MAX_DISCARDED_BYTES) {
                source.suspendReads();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        timeout.remove();
        IoUtils.safeClose(connection);
    }
}
