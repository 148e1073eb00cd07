package spartrail.client;

import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A client's connection. All of it belongs to the I/O thread. By event and state:
 *
 * <pre>
 *                    bytes come          request complete    answered          shutdown                       too slow, or evicted
 * NEW                on to HEAD          -                   -                 stays, what it asks is its     closed
 *                                                                              last; it has just come
 * HEAD               on to BODY, or      on to AWAITING_     400, CLOSING      stays, the same                closed
 *                    still HEAD          RESPONSE
 * BODY               read                on to AWAITING_     400, CLOSING      stays, the same                closed
 *                                        RESPONSE
 * AWAITING_RESPONSE  buffered for the    after the response  IDLE, or HEAD     its response is the last       never before 5 s of a
 *                    next request                            with bytes ahead                                 response that is not read
 * IDLE               on to HEAD          -                   -                 read once more, then CLOSING   closed, longest unused first
 * CLOSING            discarded           never taken         -                 stays                          closed
 * </pre>
 *
 * <p>CLOSING is {@link LingeringClose}. An end or a reset closes in each state, and in AWAITING_RESPONSE is reported as a client gone.
 */
final class ClientConnection {
    /** How far its present request has come. */
    enum State {
        NEW,
        HEAD,
        BODY,
        AWAITING_RESPONSE,
        IDLE,
        CLOSING
    }

    final StreamConnection channel;
    /** The conduits below Undertow's, by which it is closed gracefully. */
    final StreamSourceConduit source;

    final StreamSinkConduit sink;
    State state = State.NEW;
    /** A complete request of it has been read, now or earlier. */
    boolean hasSentRequest;
    /** What its body, still coming in, may take of the node's memory. */
    long bodyBytes;
    /** Bytes buffered for its next request. */
    long pipelinedBytes;
    /** Closes it where a head or a body that is coming in, or a response that is going out, takes too long. */
    XnioExecutor.Key timeout;

    ClientConnection(StreamConnection channel) {
        this.channel = channel;
        source = channel.getSourceChannel().getConduit();
        sink = channel.getSinkChannel().getConduit();
    }

    /** Without a request in flight, whether one is half sent or none: it may make room for another one. */
    boolean isEvictable() {
        return state != State.AWAITING_RESPONSE;
    }

    boolean isEvictableWithoutRequest() {
        return isEvictable() && !hasSentRequest;
    }

    boolean isSendingBody() {
        return bodyBytes > 0;
    }

    boolean isIdle() {
        return state == State.IDLE;
    }

    /** What is awaited of its client has come, or never will. */
    void cancelTimeout() {
        if (timeout != null) {
            timeout.remove();
            timeout = null;
        }
    }
}
