package spartrail.policy;

/**
 * The timing of polls, votes and leases; the same at all nodes of a fleet.
 *
 * @param leaseMs how long a lease lasts, from the time of the poll
 * @param pollIntervalMs the time between two polls of a node
 * @param voteTimeoutMs the time after which a proposal that not all nodes have voted on is refused
 * @param startupTimeoutMs the time after which a starting node that has no response serves with its local settings
 * @param maxClockDrift the largest relative error of a clock's rate, fast or slow
 */
public record PolicyTimings(
        double leaseMs, double pollIntervalMs, double voteTimeoutMs, double startupTimeoutMs, double maxClockDrift) {
    /** The values that apply where the peers file sets none. */
    public static final PolicyTimings DEFAULTS = new PolicyTimings(6000, 1000, 20_000, 10_000, 0.02);

    /**
     * The time after the grant of a lease at which it has expired for certain, on the granter's clock: the holder's
     * clock may be slow and the granter's fast, each by the largest drift.
     */
    public double leaseExpiryBoundMs() {
        return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);
    }
}
