package spartrail.dns;

import java.net.InetSocketAddress;

/**
 * A name server with its smoothed round-trip time; a query that fails raises it to at least the timeout of the query.
 */
final class NameServer {
    private static final double OLD_SHARE = 0.7;
    private static final double NEW_SHARE = 0.3;

    private final InetSocketAddress address;
    private double smoothedMs;

    NameServer(InetSocketAddress address) {
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    /** The smoothed round-trip time; 0 before the first response or failure. */
    double smoothedMs() {
        return smoothedMs;
    }

    void recordResponse(double tookMs) {
        smoothedMs = smoothedMs == 0 ? tookMs : OLD_SHARE * smoothedMs + NEW_SHARE * tookMs;
    }

    void recordFailure(double timeoutMs) {
        smoothedMs = Math.max(smoothedMs, timeoutMs);
    }
}
