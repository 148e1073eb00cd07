package spartrail.dns;

import java.net.InetSocketAddress;

/** A name server with its smoothed round-trip time, in which a timeout counts as its wait. */
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

    /** 0 before the first response. */
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
