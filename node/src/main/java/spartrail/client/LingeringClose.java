package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Closes a client's connection so that the last response arrives even if the client still sends. A close with unread
 * bytes would reset the connection, and the client would lose the part of the response that it has not read yet.
 *
 * <pre>
 *               bytes received           end, reset      MAX_DISCARDED_BYTES exceeded   TIMEOUT_MS over
 * HALF_CLOSED   read and discarded       closed          to NOT_READ                    closed
 * NOT_READ      left in the socket       not detected    -                              closed
 * </pre>
 *
 * <p>In both states nothing is written, and received bytes are not interpreted as requests. Runs on the I/O thread
 * only.
 */
final class LingeringClose {
    /**
     * Long enough for a client that reads its response, and the longest time for which a client may hold a descriptor.
     */
    static final int TIMEOUT_MS = 1000;
    /** More than any request has; after this many bytes the connection is not read any more. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private final StreamConnection connection;
    private final StreamSourceConduit source;
    private final ByteBuffer discardBuffer;
    private long discardedBytes;

    private LingeringClose(StreamConnection connection, StreamSourceConduit source, ByteBuffer discardBuffer) {
        this.connection = connection;
        this.source = source;
        this.discardBuffer = discardBuffer;
    }

    /**
     * Begins to close a connection, by its own conduits, which no other code may use from now on. The caller closes the
     * connection after {@link #TIMEOUT_MS}.
     */
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
                IoUtils.safeClose(connection);
            } else if (discardedBytes >= MAX_DISCARDED_BYTES) {
                source.suspendReads();
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
