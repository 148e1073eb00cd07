package spartrail.policy;

/**
 * The times that policy rests on, in milliseconds; the same at all nodes of a fleet.
 *
 * @param leaseMs how long a node may go by what it was told, from when it asked
 * @param pollIntervalMs how often it asks
 * @param voteTimeoutMs a proposal that not all have answered is refused after so long
 * @param startupTimeoutMs a node that starts and hears nothing serves guarded after so long
 * @param maxClockDrift a clock is fast or slow by so much at the most, as a part
 */
public record PolicyTimings(
        double leaseMs, double pollIntervalMs, double voteTimeoutMs, double startupTimeoutMs, double maxClockDrift) {
    public static final PolicyTimings DEFAULTS = new PolicyTimings(6000, 1000, 20_000, 10_000, 0.02);

    /** When all leases of a time are over, on any clock within the drift: the holder's may be slow, and the giver's fast. */
    public double leaseExpiryBoundMs() {
        return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);
    }
}
