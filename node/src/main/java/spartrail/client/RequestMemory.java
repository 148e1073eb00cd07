package spartrail.client;

/**
 * The memory that clients' requests take, from the first byte of a head to the response, and its limit: filling the
 * heap would end the node with all its requests in flight. Runs on the I/O thread only.
 *
 * <p>Of each connection {@link #UNCOUNTED_BYTES} are not counted, as the limit on connections bounds them. So large
 * requests of some clients neither evict nor reject the small ones of others.
 */
final class RequestMemory {
    /** More than a request with a short text and a dozen headers takes. */
    static final int UNCOUNTED_BYTES = 4 * 1024;

    private final long maxBytes;
    /** The memory of requests on open connections. */
    private long usedBytes;
    /** The memory of requests on closed connections, to which the I/O thread's queue and selector may still refer. */
    private long closingBytes;

    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts the memory that the requests of this connection take now. */
    void update(ClientConnection client) {
        long counted = Math.max(0, client.requestBytes.total() - UNCOUNTED_BYTES);
        usedBytes += counted - client.countedBytes;
        client.countedBytes = counted;
    }

    /** Takes a connection that is being closed off the count; returns the bytes for {@link #endClosing}. */
    long beginClosing(ClientConnection client) {
        long bytes = client.countedBytes;
        client.countedBytes = 0;
        usedBytes -= bytes;
        closingBytes += bytes;
        return bytes;
    }

    /** Counts the memory of a closed connection as free. */
    void endClosing(long bytes) {
        closingBytes -= bytes;
    }

    /** Whether the requests on open connections take more memory than they may. */
    boolean isExceeded() {
        return usedBytes > maxBytes;
    }

    /** Whether there is no memory for further requests until that of closed connections is free. */
    boolean isExhausted() {
        return usedBytes + closingBytes > maxBytes + maxBytes / 2;
    }

    /** Whether so many bytes may be buffered behind a request in flight; half of the memory is left to requests. */
    boolean hasRoomForPipelined(long bytes) {
        return usedBytes + bytes <= maxBytes / 2;
    }
}
