package spartrail.peers;

/**
 * A node's state in a view; the later one outranks the earlier one where incarnation and refutations are the same. Datagrams
 * hold the numbers of the constants, the history and replies to operators their names.
 */
public enum PeerState {
    /** It has started and not heard from anybody yet. */
    JOINING,
    ALIVE,
    /** Somebody did not get an answer from it; it may refute that. */
    SUSPECT,
    /** Nobody refuted the suspicion in time. It may be alive behind a cut. */
    GONE,
    /** It has said itself that it ends. */
    LEFT;

    /** Whether it counts among the nodes that are present. */
    public boolean isPresent() {
        return this != GONE && this != LEFT;
    }
}
