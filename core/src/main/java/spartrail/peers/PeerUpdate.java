package spartrail.peers;

/**
 * What one node reports about another. A node keeps the received update with the highest precedence: by incarnation,
 * then whether the peer has left, then refutations, then state. The result therefore does not depend on the order of
 * updates or on duplicates.
 *
 * @param incarnationAgeMs age of that incarnation by the reporting node's clock; 0 if unknown
 * @param suspectingPeer name of a node that suspects the peer if its state is suspect, else empty
 */
public record PeerUpdate(PeerDescriptor descriptor, PeerState state, double incarnationAgeMs, String suspectingPeer) {
    /** Compares by precedence; positive if the first descriptor and state outrank the second. */
    static int comparePrecedence(
            PeerDescriptor descriptor, PeerState state, PeerDescriptor other, PeerState otherState) {
        int order = descriptor.incarnation().compareTo(other.incarnation());
        if (order == 0) {
            order = Boolean.compare(state == PeerState.LEFT, otherState == PeerState.LEFT);
        }
        if (order == 0) {
            order = Integer.compare(descriptor.refutations(), other.refutations());
        }
        return order != 0 ? order : state.compareTo(otherState);
    }
}
