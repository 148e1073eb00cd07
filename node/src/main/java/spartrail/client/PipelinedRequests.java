package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;

/** The bytes that a client has sent after a request in flight, up to a limit; Undertow reads them next. */
final class PipelinedRequests implements PooledByteBuffer {
    /** Three requests of the largest size, or hundreds of small ones. */
    private static final int MAX_BYTES = 256 * 1024;

    private static final int MIN_CAPACITY_BYTES = 1024;

    private ByteBuffer bytes;

    PipelinedRequests(ByteBuffer first) {
        bytes = ByteBuffer.allocate(Math.max(MIN_CAPACITY_BYTES, first.remaining()))
                .put(first)
                .flip();
    }

    /** Whether so many further bytes would exceed the limit. */
    boolean isFullFor(int moreBytes) {
        return bytes.remaining() + moreBytes > MAX_BYTES;
    }

    /** Appends bytes; the caller has checked that they do not exceed the limit. */
    void append(ByteBuffer more) {
        int needed = bytes.remaining() + more.remaining();
        if (needed > bytes.capacity()) {
            bytes = ByteBuffer.allocate(Math.min(MAX_BYTES, Math.max(needed, 2 * bytes.capacity())))
                    .put(bytes)
                    .flip();
        }
        bytes.compact().put(more).flip();
    }

    /**
     * Whether the bytes may begin with a request: they contain the empty line that ends a head, or are too few to tell.
     */
    boolean mayBeginWithRequest() {
        if (bytes.remaining() <= ClientListener.MAX_HEAD_BYTES) {
            return true;
        }
        int lineBytes = 0;
        for (int i = 0; i < ClientListener.MAX_HEAD_BYTES; i++) {
            byte next = bytes.get(bytes.position() + i);
            if (next == '\n' && lineBytes == 0) {
                return true;
            }
            if (next == '\n') {
                lineBytes = 0;
            } else if (next != '\r') {
                lineBytes++;
            }
        }
        return false;
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
