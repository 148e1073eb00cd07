package spartrail.policy;

/**
 * The times that policy rests on, in milliseconds; the same at all nodes of a fleet.
 *
 * @param leaseMs how long a node may go by what it was told, from when it asked
 * @param askMs how often it asks
 * @param prepareMs a proposal that not all have answered is refused after so long
 * @param readyMs a node that starts and hears nothing serves guarded after so long
 * @param drift a clock is fast or slow by so much at the most, as a part
 */
public record PolicyTimings(double leaseMs, double askMs, double prepareMs, double readyMs, double drift) {
    public static final PolicyTimings USUAL = new PolicyTimings(6000, 1000, 20_000, 10_000, 0.02);

    /** When all leases of a time are over, on any clock within the drift: the holder's may be slow, and the giver's fast. */
    public double overMs() {
        return leaseMs * (1 + drift) / (1 - drift);
    }
}
