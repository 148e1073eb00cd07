package spartrail.peers;

/**
 * What is said of a node: the highest word of it that a node has heard is what it holds. Words are ordered by life, then
 * whether it has left, then turn, then standing, so that it does not matter in which order they come, or how often.
 *
 * @param ageMs how old that life is by the clock of who says so; 0 where it does not know
 * @param by who accuses, where it is a suspicion or its end; else empty
 */
public record PeerUpdate(PeerDescriptor card, PeerState standing, double ageMs, String by) {
    /** Above 0 where the first outranks the second. */
    static int compare(PeerDescriptor card, PeerState standing, PeerDescriptor other, PeerState otherStanding) {
        int order = card.life().compareTo(other.life());
        order = order != 0 ? order : Boolean.compare(standing == PeerState.LEFT, otherStanding == PeerState.LEFT);
        order = order != 0 ? order : Integer.compare(card.turn(), other.turn());
        return order != 0 ? order : standing.compareTo(otherStanding);
    }
}
