package spartrail.client;

import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;

/** The bytes that a client has sent after a request in flight, up to a limit; Undertow reads them next. */
final class PipelinedRequests implements PooledByteBuffer {
    private static final int MIN_CAPACITY_BYTES = 1024;
    /** A buffer is replaced by a smaller one when less than one of so many parts of it is needed. */
    private static final int SHRINK_PARTS = 4;

    private final int maxBytes;
    private ByteBuffer bytes;
    private boolean full;

    PipelinedRequests(ByteBuffer first, int maxBytes) {
        this.maxBytes = maxBytes;
        bytes = ByteBuffer.allocate(Math.max(MIN_CAPACITY_BYTES, first.remaining()))
                .put(first)
                .flip();
    }

    /**
     * Whether there is room for so many further bytes. After it was full, there is none until half of the bytes are
     * handled: each read into a full buffer would move all of its bytes.
     */
    boolean hasRoomFor(int moreBytes) {
        int limitBytes = full ? maxBytes / 2 : maxBytes;
        full = bytes.remaining() + moreBytes > limitBytes;
        return !full;
    }

    /** Appends bytes; the caller has checked that there is room. */
    void append(ByteBuffer more) {
        int needed = bytes.remaining() + more.remaining();
        if (bytes.limit() + more.remaining() > bytes.capacity()) {
            makeRoom(needed);
        }
        int end = bytes.limit();
        bytes.limit(end + more.remaining());
        bytes.put(end, more, more.position(), more.remaining());
        more.position(more.limit());
    }

    /** Moves the bytes to the beginning, of another buffer if this one is too small or much too large. */
    private void makeRoom(int needed) {
        boolean isTooLarge = bytes.capacity() > MIN_CAPACITY_BYTES && needed < bytes.capacity() / SHRINK_PARTS;
        if (needed > bytes.capacity() || isTooLarge) {
            bytes = ByteBuffer.allocate(Math.max(MIN_CAPACITY_BYTES, 2 * needed))
                    .put(bytes)
                    .flip();
        } else {
            bytes.compact().flip();
        }
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
