package spartrail.peers;

/**
 * What one node says of another. A node holds the update of the highest precedence that it has received: by incarnation, then
 * whether it has left, then refutations, then state. So it does not matter in which order updates come, or how often.
 *
 * @param incarnationAgeMs how old that incarnation is by the clock of the node that says so; 0 where it doesn't know
 * @param accuser who suspects the node, where it is suspected; else empty
 */
public record PeerUpdate(PeerDescriptor descriptor, PeerState state, double incarnationAgeMs, String suspectingPeer) {
    /** Above 0 where the first descriptor and state outrank the second. */
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
