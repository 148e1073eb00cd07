package spartrail.policy;

/**
 * The times that policy rests on, in milliseconds; the same at all nodes of a fleet.
 *
 * @param leaseMs how long a node may go by a response, from when it polled
 * @param pollIntervalMs how often it polls
 * @param voteTimeoutMs a proposal that not all nodes have voted on is refused after so long
 * @param startupTimeoutMs a node that starts and gets no response serves by its local settings after so long
 * @param maxClockDrift a clock is fast or slow by this share at the most
 */
public record PolicyTimings(
        double leaseMs, double pollIntervalMs, double voteTimeoutMs, double startupTimeoutMs, double maxClockDrift) {
    /** Where the peers file says nothing. */
    public static final PolicyTimings DEFAULTS = new PolicyTimings(6000, 1000, 20_000, 10_000, 0.02);

    /**
     * So long after they were granted all leases have expired, on any clock within the drift: the holder's may be slow, and the
     * granter's fast.
     */
    public double leaseExpiryBoundMs() {
        return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);
    }
}
