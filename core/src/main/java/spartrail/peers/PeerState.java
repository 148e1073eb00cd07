package spartrail.peers;

/**
 * A node's state in a view. With equal incarnation and refutations a later constant outranks an earlier one. Datagrams
 * contain the ordinals of the constants; the history file and replies to operators contain their names.
 */
public enum PeerState {
    /** The node has started but has not received an answer from any other node yet. */
    JOINING,
    ALIVE,
    /** The node did not answer a probe of some other node; it can refute the suspicion. */
    SUSPECT,
    /** The suspicion was not refuted in time. The node may still be alive across a network partition. */
    GONE,
    /** The node itself has announced that it leaves. */
    LEFT;

    /** Whether a node in this state counts as present. */
    public boolean isPresent() {
        return this != GONE && this != LEFT;
    }
}
