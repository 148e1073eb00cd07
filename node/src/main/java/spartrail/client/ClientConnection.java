package spartrail.client;

import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import spartrail.intake.RequestBytes;
import spartrail.intake.RequestFraming;

/**
 * A client's connection. Belongs to the I/O thread. By event and state:
 *
 * <pre>
 *           bytes received      request complete     response written   shutdown              timeout or eviction
 * NEW       to HEAD             -                    -                  stays open for one    closed
 *                                                                       request, its last
 * HEAD      to BODY, or         to AWAITING_         400, CLOSING       as NEW                closed
 *           still HEAD          RESPONSE
 * BODY      read                to AWAITING_         400, CLOSING       as NEW                closed
 *                               RESPONSE
 * AWAITING_ buffered for the    handled after the    IDLE, or QUEUED    the response is the   only if its client does
 * RESPONSE  next requests       response             if bytes are       last one, if no bytes not read the response
 *                                                    buffered           are buffered          for 5 s
 * QUEUED    left in the socket  (in its turn: to     -                  stays                 stays
 *                               HEAD)
 * IDLE      to HEAD             -                    -                  read once more,       closed, the longest
 *                                                                       then CLOSING          unused one first
 * CLOSING   discarded           ignored              -                  stays                 closed
 * </pre>
 *
 * <p>{@link LingeringClose} implements CLOSING. The end of the stream or a reset closes the connection in each state;
 * in AWAITING_RESPONSE the node also reports that the client is gone.
 */
final class ClientConnection {
    /** The progress of the current request. */
    enum State {
        NEW,
        HEAD,
        BODY,
        AWAITING_RESPONSE,
        /** The next request is buffered and waits for its turn, see {@link RequestScheduler}. */
        QUEUED,
        IDLE,
        CLOSING
    }

    final StreamConnection channel;
    /** The conduit that Undertow reads, above {@link #source}. */
    RequestReadConduit requestSource;
    /** The conduit of the socket, below {@link #requestSource}. */
    final StreamSourceConduit source;

    /** The conduit below Undertow's, which a graceful close uses. */
    final StreamSinkConduit sink;

    State state = State.NEW;
    /** Its turn to have a request read and handled. */
    final RequestScheduler.Turn turn;
    /** Whether a complete request has been read on this connection. */
    boolean hasSentRequest;
    /** When the bytes arrived that were read on this connection. */
    final ArrivalTimes arrivals = new ArrivalTimes();
    /**
     * The time since which the socket may hold unread bytes, as it was not read to its end; NaN if there are none. They
     * may have arrived as early as then.
     */
    double unreadSinceMs = Double.NaN;
    /** Where the request that is received ends. */
    final RequestFraming framing = new RequestFraming();
    /** The memory of its requests. */
    final RequestBytes requestBytes = new RequestBytes(HttpRequestHandler.MAX_BODY_BYTES);
    /** Closes the connection if receiving a head or a body, sending a response, or the lingering close takes too long. */
    XnioExecutor.Key timeout;
    /** Closes the connection if it sends no complete request in time after it was accepted. */
    XnioExecutor.Key firstRequestTimeout;

    ClientConnection(StreamConnection channel, double connectedMs) {
        this.channel = channel;
        turn = new RequestScheduler.Turn(connectedMs);
        source = channel.getSourceChannel().getConduit();
        sink = channel.getSinkChannel().getConduit();
    }

    /**
     * Whether it may be closed to make room for another one: it has no request in flight, and has sent none that was
     * read or waits for its turn to be read, at most an incomplete one.
     */
    boolean isEvictable() {
        return state != State.AWAITING_RESPONSE && !requestBytes.hasBuffered() && !turn.isAwaited();
    }

    boolean isEvictableWithoutRequest() {
        return isEvictable() && !hasSentRequest;
    }

    /** Whether the socket may hold bytes that were left in it for want of room. */
    boolean hasUnreadBytes() {
        return !Double.isNaN(unreadSinceMs);
    }

    /** Whether the head or the body of a request is awaited. */
    boolean isReceiving() {
        return state == State.HEAD || state == State.BODY;
    }

    boolean isSendingBody() {
        return state == State.BODY;
    }

    /** Whether it may be closed to free the memory of its incomplete request. */
    boolean isIncompleteAndCounted() {
        return requestBytes.isCounted() && !requestBytes.hasBuffered() && isReceiving();
    }

    boolean isIdle() {
        return state == State.IDLE;
    }

    /** Ends the time limit for the client's next step. */
    void cancelTimeout() {
        if (timeout != null) {
            timeout.remove();
            timeout = null;
        }
    }

    /** Ends the time limit for the first complete request. */
    void cancelFirstRequestTimeout() {
        if (firstRequestTimeout != null) {
            firstRequestTimeout.remove();
            firstRequestTimeout = null;
        }
    }
}
