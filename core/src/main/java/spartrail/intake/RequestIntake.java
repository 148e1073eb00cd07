package spartrail.intake;

/**
 * Limits the memory that clients' requests take, from the first byte of a head to the response: filling the heap would
 * end the node with all its requests in flight. Rejects queries for which no time is left.
 *
 * <p>Of each connection {@link #UNCOUNTED_BYTES} are not counted, as the limit on connections bounds them. So large
 * requests of some clients neither evict nor reject the small ones of others.
 */
public final class RequestIntake {
    /** More than a request with a short text and a dozen headers takes. */
    private static final int UNCOUNTED_BYTES = 4 * 1024;
    /** Requests may take one of so many parts of the heap. */
    private static final int HEAP_PARTS = 4;

    /** Some requests of the largest size, or hundreds of small ones. */
    private static final int MIN_BUFFERED_BYTES = 256 * 1024;

    private static final int MAX_BUFFERED_BYTES = 2 * 1024 * 1024;
    /** One connection may buffer one of so many parts of the memory for requests. */
    private static final int BUFFER_PARTS = 8;

    /** The HTTP server copies what is left of a read for each chunk, so a large read of tiny chunks takes long. */
    private static final int MAX_CHUNKED_READ_BYTES = 128;

    private final long maxBytes;
    /** The memory of requests on open connections. */
    private long usedBytes;
    /** The memory of requests on closed connections that is not free yet. */
    private long closingBytes;

    /** Creates limits for a heap of this size. */
    public RequestIntake(long heapBytes) {
        maxBytes = heapBytes / HEAP_PARTS;
    }

    /** Counts the memory that the requests of this connection take now. */
    public void update(RequestBytes requests) {
        long counted = Math.max(0, requests.total() - UNCOUNTED_BYTES);
        usedBytes += counted - requests.counted;
        requests.counted = counted;
    }

    /** Takes a connection that is being closed off the count; returns the bytes for {@link #endClosing}. */
    public long beginClosing(RequestBytes requests) {
        long bytes = requests.counted;
        requests.counted = 0;
        usedBytes -= bytes;
        closingBytes += bytes;
        return bytes;
    }

    /** Counts the memory of a closed connection as free. */
    public void endClosing(long bytes) {
        closingBytes -= bytes;
    }

    /** Whether an incomplete request has to be closed, as those on open connections take too much. */
    public boolean mustCloseIncomplete() {
        return usedBytes > maxBytes;
    }

    /** Whether this connection's incomplete request may be received: not until memory of closed ones is free. */
    public boolean mayReceive(RequestBytes requests) {
        return requests.counted == 0 || !isExhausted();
    }

    /** Whether this connection's complete request may be kept until its response. */
    public boolean mayKeep(RequestBytes requests) {
        return requests.counted == 0 || !(mustCloseIncomplete() || isExhausted());
    }

    /** Whether so many bytes may be buffered behind a request in flight; half of the memory is left to requests. */
    public boolean mayBuffer(long bytes) {
        return usedBytes + bytes <= maxBytes / 2;
    }

    /** The most bytes that may be read ahead on this connection, in all, where so many are of use. */
    public int maxReadAheadBytes(RequestBytes requests, int usefulBytes) {
        long free = maxBytes / 2 - usedBytes + requests.counted;
        return (int) Math.max(UNCOUNTED_BYTES, Math.min(usefulBytes, free));
    }

    /**
     * The most bytes that may be buffered behind a request in flight. All that a client has sent has to be read for its
     * disconnect to be seen.
     */
    public int maxBufferedBytesPerConnection() {
        return (int) Math.max(MIN_BUFFERED_BYTES, Math.min(MAX_BUFFERED_BYTES, maxBytes / BUFFER_PARTS));
    }

    /** The most bytes that one read of a connection may take. */
    public static int maxReadBytes(RequestBytes requests) {
        return requests.isReceivingChunks() ? MAX_CHUNKED_READ_BYTES : Integer.MAX_VALUE;
    }

    private boolean isExhausted() {
        return usedBytes + closingBytes > maxBytes + maxBytes / 2;
    }

    /**
     * Whether the client of a query no longer waits. Such a query must not wait for the coordinator: hundreds may expire
     * behind a slow one on their connection, and each of them would take an iteration of its loop.
     */
    public static boolean isExpired(double arrivedMs, double clientTimeoutMs, double nowMs) {
        return nowMs - arrivedMs >= clientTimeoutMs;
    }
}
