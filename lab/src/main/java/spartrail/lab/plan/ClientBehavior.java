package spartrail.lab.plan;

/**
 * What a client does when it is not served, and when it loses patience. Shares are of the client's time for one try.
 *
 * @param tries most tries in all
 * @param pause how long it waits before the next
 * @param waitMs the first wait; the later ones grow by {@code factor} where the wait is exponential
 * @param mostWaitMs no wait is longer
 * @param jitter each wait is drawn between (1 - jitter) and (1 + jitter) of it
 * @param heeds the share of its refusals for which it keeps to a given Retry-After
 * @param leavesShare how often it leaves midway
 * @param leavesAt after which share of its time it then does
 * @param ownConnection each try comes on a connection of its own, closed after it
 */
public record ClientBehavior(
        int tries,
        Wait pause,
        double waitMs,
        double factor,
        double mostWaitMs,
        double jitter,
        double heeds,
        double leavesShare,
        double leavesAt,
        boolean ownConnection) {
    /** Kinds of wait before a further try. */
    public enum Wait {
        NONE,
        FIXED,
        EXPONENTIAL
    }

    public static final ClientBehavior ONCE = new ClientBehavior(1, Wait.NONE, 0, 1, 0, 0, 0, 0, 1, false);
}
