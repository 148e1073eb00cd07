package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;

/**
 * The bytes that a client has sent after a request in flight, up to the size of one request; Undertow reads them next.
 */
final class PipelinedRequests implements PooledByteBuffer {
    static final int MAX_BYTES = 80 * 1024;

    private ByteBuffer bytes;

    PipelinedRequests(ByteBuffer first) {
        bytes = ByteBuffer.allocate(Math.max(1024, first.remaining()))
                .put(first)
                .flip();
    }

    /** Appends bytes; false, without a change, if that would exceed the limit. */
    boolean append(ByteBuffer more) {
        int needed = bytes.remaining() + more.remaining();
        if (needed > MAX_BYTES) {
            return false;
        }
        if (needed > bytes.capacity()) {
            bytes = ByteBuffer.allocate(Math.min(MAX_BYTES, Math.max(needed, 2 * bytes.capacity())))
                    .put(bytes)
                    .flip();
        }
        bytes.compact().put(more).flip();
        return true;
    }

    @Override
    public ByteBuffer getBuffer() {
        return bytes;
    }

    @Override
    public void close() {
        bytes = null;
    }

    @Override
    public boolean isOpen() {
        return bytes != null;
    }
}
