package spartrail.client;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts what became of clients' connections and requests since the start, for the node's log. Written by the I/O
 * thread; other threads read it for a log line only and may see older values.
 */
public final class ClientCounters {
    private static final System.Logger LOG = System.getLogger("spartrail.client");

    /** Why a complete query was not answered by the coordinator. */
    enum Rejection {
        /** Its client no longer waited when its turn came. */
        EXPIRED,
        /** There was no memory to keep it. */
        OUT_OF_MEMORY,
        /** More bytes behind it were in the socket than could be read, so its client may have disconnected. */
        UNREAD_BYTES,
        /** It was in flight when its client sent more bytes than could be read. */
        GIVEN_UP,
        /** Its client had disconnected. */
        CLIENT_GONE
    }

    /** Why the node closed a connection. */
    enum CloseReason {
        /** To make room for another connection. */
        EVICTED,
        /** The client's next step took too long. */
        TIMED_OUT,
        /** There was no memory for its incomplete request. */
        OUT_OF_MEMORY,
        /** Its last response was written, or it was idle at the shutdown. */
        FINISHED,
        /** Its response could not be written. */
        WRITE_FAILED,
        /** Its client had closed it behind its requests before the first of them was handled. */
        LEFT_BY_CLIENT
    }

    private final Map<Rejection, Long> rejections = new EnumMap<>(Rejection.class);
    private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class);
    private long accepted;
    private long closedByClients;
    private long readinessChecks;
    private long queries;
    private long malformed;
    private double longestPollMs;

    void countAccepted() {
        accepted++;
    }

    void countClosedByClient() {
        closedByClients++;
    }

    void countReadinessCheck() {
        readinessChecks++;
    }

    void countQuery() {
        queries++;
    }

    void countMalformed() {
        malformed++;
    }

    void countRejection(Rejection reason, String requestId) {
        rejections.merge(reason, 1L, Long::sum);
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "query " + requestId + " not served: " + reason);
        }
    }

    void countClose(CloseReason reason, ClientConnection client) {
        closes.merge(reason, 1L, Long::sum);
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "connection of " + client.channel.getPeerAddress() + " closed in state " + client.state + ": "
                            + reason);
        }
    }

    /** Records how long it took until all readable sockets were read. */
    void recordPoll(double tookMs) {
        longestPollMs = Math.max(longestPollMs, tookMs);
    }

    @Override
    public String toString() {
        return "connections " + accepted + ", closed by clients " + closedByClients + ", closed " + closes
                + ", readiness checks " + readinessChecks + ", queries " + queries + ", malformed " + malformed
                + ", ended early " + rejections
                + String.format(Locale.ROOT, ", longest poll %.0f ms", longestPollMs);
    }
}
