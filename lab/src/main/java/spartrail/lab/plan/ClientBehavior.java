package spartrail.lab.plan;

/**
 * How a client retries after a failed attempt, and when it abandons an attempt. Shares are between 0 and 1.
 *
 * @param maxAttempts maximum of attempts per multiget
 * @param backoff how the pause before the next attempt grows
 * @param initialBackoffMs the first pause
 * @param backoffFactor factor from one pause to the next for exponential backoff
 * @param maxBackoffMs upper limit of a pause before jitter
 * @param jitter each pause is multiplied by a random factor between (1 - jitter) and (1 + jitter)
 * @param honorsRetryAfterShare share of the rejections whose Retry-After is honored
 * @param abandonShare share of the attempts that the client abandons
 * @param abandonAfterShare share of the timeout after which it abandons them
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
    /** How the pause between attempts grows; load plan files use these names in lower case. */
    public enum Backoff {
        NONE,
        FIXED,
        EXPONENTIAL
    }

    /** A client that makes one attempt and waits until its timeout. */
    public static final ClientBehavior ONCE = new ClientBehavior(1, Backoff.NONE, 0, 1, 0, 0, 0, 0, 1, false);
}
