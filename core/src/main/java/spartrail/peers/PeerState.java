package spartrail.peers;

/** How a node stands; the later one outranks the earlier one where life and turn are the same. */
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

    /** It counts among those that are there. */
    public boolean there() {
        return this != GONE && this != LEFT;
    }
}
