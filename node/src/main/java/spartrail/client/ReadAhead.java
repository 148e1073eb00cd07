package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bytes that were read from a socket before their connection's turn, to learn whether the client has closed it behind
 * them. To all others they are as unread as those in the socket. Runs on the I/O thread only.
 */
final class ReadAhead {
    private final StreamSourceConduit source;
    /** Null if there are none. */
    private ByteBuffer kept;

    ReadAhead(StreamSourceConduit source) {
        this.source = source;
    }

    boolean isEmpty() {
        return kept == null;
    }

    int size() {
        return kept == null ? 0 : kept.remaining();
    }

    /** Moves bytes to the buffer. */
    int read(ByteBuffer into) {
        int count = Math.min(into.remaining(), kept.remaining());
        into.put(kept.slice().limit(count));
        kept.position(kept.position() + count);
        if (!kept.hasRemaining()) {
            kept = null;
        }
        return count;
    }

    /**
     * Reads what has arrived, as far as the buffer has room, and keeps it for later reads.
     *
     * @return whether the end of the stream was read; then nothing is kept
     */
    boolean readToEnd(ByteBuffer buffer) throws IOException {
        int count = kept == null ? 1 : 0;
        while (count > 0 && buffer.hasRemaining()) {
            count = source.read(buffer);
        }
        if (count >= 0 && buffer.flip().hasRemaining()) {
            kept = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
        }
        return count < 0;
    }
}
