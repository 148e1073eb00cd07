package spartrail.peers;

import java.util.List;
import java.util.Map;
import spartrail.model.FleetView;

/**
 * One node's view of all front nodes, itself included.
 *
 * @param healthProblem why the view is unreliable now; the node then makes no decision for the fleet. Empty if it is
 *     reliable
 * @param presentCount number of nodes considered present, suspects included
 * @param minCount number of nodes that are present with the highest certainty a node can have about others
 * @param maxCount number of nodes that may be present, including those that may be alive across a network partition
 * @param peers all nodes, sorted by name
 * @param counters counts of rejected, dropped and suspicious events, by the labels of {@link MembershipCounter}
 */
public record MembershipView(
        String name,
        PeerState state,
        String healthProblem,
        double atMs,
        int presentCount,
        int minCount,
        int maxCount,
        List<Entry> peers,
        Map<String, Long> counters) {
    /** How reliable an entry is. */
    public enum Confidence {
        /** The peer itself has recently answered this node. */
        DIRECT,
        /** The state is known from other nodes, or the peer's last answer is old. */
        REPORTED,
        /** The peer is a suspect, or this node's local health is poor. */
        LOW
    }

    /**
     * One node of the view.
     *
     * @param stateSinceMs when it entered that state, by this node's clock
     * @param reporter name of the node that reported the state; this node's own name if it determined the state itself
     * @param lastAckMs when it last answered this node, or NaN if it never has
     * @param reason why it has that state, as a text for operators
     */
    public record Entry(
            PeerDescriptor descriptor,
            PeerState state,
            double stateSinceMs,
            String reporter,
            Confidence confidence,
            double lastAckMs,
            String reason) {}

    /** Converts this view to the summary that the request coordinator uses. */
    public FleetView toFleetView() {
        return new FleetView(maxCount, healthProblem.isEmpty(), true);
    }
}
