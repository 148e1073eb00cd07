package spartrail.intake;

/**
 * The memory that the requests on one connection take, in bytes: the one that is received or in flight, and those that
 * are buffered behind it. Estimated from what was read, as the HTTP server does not tell what it keeps.
 */
public final class RequestBytes {
    /** The objects and strings of one parsed header. */
    private static final int BYTES_PER_HEADER = 200;
    /** Buffers whose final size is unknown grow by doubling. */
    private static final int BUFFER_GROWTH_FACTOR = 2;

    private final long maxBodyBytes;
    /** What was read since the head or, if that is complete, the body began. */
    private long received;
    /** The line ends that were read since the head began. */
    private int receivedLines;

    private long head;
    private long body;
    private boolean isBodyLengthUnknown;
    private long buffered;
    private long readAhead;
    /** What {@link RequestIntake} has counted for this connection. */
    long counted;

    /** Creates the sizes of a connection without requests, whose bodies have at most so many bytes. */
    public RequestBytes(long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Begins a head, with the bytes that are buffered. */
    public void beginHead() {
        received = buffered;
        receivedLines = 0;
    }

    /** Adds the bytes of a read, with so many line ends, to an incomplete head. */
    public void addToHead(int bytes, int lines) {
        received += bytes;
        receivedLines += lines;
        head = estimateHead(received, receivedLines);
    }

    /** Ends a head with so many headers, behind which so many bytes were read. */
    public void endHead(int headers, int bytesBehind) {
        head = estimateHead(Math.max(0, received - bytesBehind), headers);
        buffered = bytesBehind;
    }

    private static long estimateHead(long bytes, int headers) {
        return BUFFER_GROWTH_FACTOR * bytes + (long) headers * BYTES_PER_HEADER;
    }

    /** Begins a body of this length, which is negative if it is unknown. */
    public void beginBody(long length) {
        received = buffered;
        isBodyLengthUnknown = length < 0;
        body = Math.max(0, length);
    }

    /** Adds the bytes of a read to an incomplete body. */
    public void addToBody(int bytes) {
        received += bytes;
        if (isBodyLengthUnknown) {
            body = Math.min(maxBodyBytes, BUFFER_GROWTH_FACTOR * received);
        }
    }

    /** Whether a body in chunks is being received. */
    boolean isReceivingChunks() {
        return isBodyLengthUnknown;
    }

    /** Ends a body of this length, behind which so many bytes were read. */
    public void endBody(int length, int bytesBehind) {
        isBodyLengthUnknown = false;
        body = length;
        buffered = bytesBehind;
    }

    /** Ends a request, behind which so many bytes are buffered. */
    public void endRequest(int bytesBehind) {
        isBodyLengthUnknown = false;
        head = 0;
        body = 0;
        buffered = bytesBehind;
    }

    /** Sets the number of bytes that were read and are not parsed yet. */
    public void setBuffered(int bytes) {
        buffered = bytes;
    }

    /** Sets the number of bytes that were read ahead of the connection's turn. */
    public void setReadAhead(int bytes) {
        readAhead = bytes;
    }

    /** Whether bytes were read that are not parsed yet; complete requests may be among them. */
    public boolean hasBuffered() {
        return buffered > 0 || readAhead > 0;
    }

    /** Whether there is anything that counts towards the limit. */
    public boolean isCounted() {
        return counted > 0;
    }

    long total() {
        return head + body + buffered + readAhead;
    }
}
