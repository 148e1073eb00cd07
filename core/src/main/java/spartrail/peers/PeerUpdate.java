package spartrail.peers;

/**
 * What is said of a node: the highest word of it that a node has heard is what it holds. Words are ordered by life, then
 * whether it has left, then turn, then standing, so that it does not matter in which order they come, or how often.
 *
 * @param incarnationAgeMs how old that life is by the clock of who says so; 0 where it does not know
 * @param accuser who accuses, where it is a suspicion or its end; else empty
 */
public record PeerUpdate(PeerDescriptor descriptor, PeerState state, double incarnationAgeMs, String accuser) {
    /** Above 0 where the first outranks the second. */
    static int comparePrecedence(
            PeerDescriptor descriptor, PeerState state, PeerDescriptor other, PeerState otherState) {
        int order = descriptor.incarnation().compareTo(other.incarnation());
        order = order != 0 ? order : Boolean.compare(state == PeerState.LEFT, otherState == PeerState.LEFT);
        order = order != 0 ? order : Integer.compare(descriptor.refutations(), other.refutations());
        return order != 0 ? order : state.compareTo(otherState);
    }
}
