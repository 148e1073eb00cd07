package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;

/** What a client has sent behind a request that is still in flight, for its next one; as much as a request may have. */
final class PipelinedRequests implements PooledByteBuffer {
    static final int MAX_BYTES = 80 * 1024;

    private ByteBuffer bytes;

    PipelinedRequests(ByteBuffer first) {
        bytes = ByteBuffer.allocate(Math.max(1024, first.remaining()))
                .put(first)
                .flip();
    }

    /** Keeps these too; false if that would be more than it may keep. */
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
