package spartrail.lab.plan;

/**
 * What a client does when it is not served, and when it abandons an attempt. Shares are of 1.
 *
 * @param maxAttempts attempts in all
 * @param backoff how the pause before the next attempt grows
 * @param initialBackoffMs the first pause
 * @param backoffFactor factor from one pause to the next where it is exponential
 * @param maxBackoffMs no pause is longer
 * @param jitter each pause is drawn between (1 - jitter) and (1 + jitter) of itself
 * @param honorsRetryAfterShare share of the rejections whose Retry-After is honored
 * @param abandonShare share of the attempts that are abandoned
 * @param abandonAfterShare share of the timeout after which they are
 * @param ownConnection each attempt opens a connection of its own and closes it
 */
public record ClientBehavior(
        int maxAttempts,
        Backoff backoff,
        double initialBackoffMs,
        double backoffFactor,
        double maxBackoffMs,
        double jitter,
        double honorsRetryAfterShare,
        double abandonShare,
        double abandonAfterShare,
        boolean ownConnection) {
    /** How the pause between attempts grows; named by the load plan's file. */
    public enum Backoff {
        NONE,
        FIXED,
        EXPONENTIAL
    }

    /** A client that asks once and waits. */
    public static final ClientBehavior ONCE = new ClientBehavior(1, Backoff.NONE, 0, 1, 0, 0, 0, 0, 1, false);
}
