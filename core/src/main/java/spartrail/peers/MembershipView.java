package spartrail.peers;

import java.util.List;
import java.util.Map;
import spartrail.model.FleetView;

/**
 * What a node knows of all front nodes, itself included.
 *
 * @param healthProblem why this node trusts its own view less now, empty where it doesn't: it decides nothing for the fleet
 *     then
 * @param presentCount how many are held to be present, suspects included
 * @param minCount as many are surely present, as far as a node can be sure of others
 * @param maxCount as many can be present: also those that may live on behind a cut
 * @param peers all nodes by name
 * @param counters what was refused, dropped or doubted, by the labels of {@link MembershipCounter}
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
    /** How sure a node is of an entry. */
    public enum Confidence {
        /** By a fresh answer of its own. */
        DIRECT,
        /** By what others say. */
        REPORTED,
        /** The entry is a suspect, or the node's own health is in doubt. */
        LOW
    }

    /**
     * One node.
     *
     * @param stateSinceMs since when it has that state, by this node's clock
     * @param reporter who told so: this node itself, or the name of another one
     * @param lastAckMs when it last answered this node, or NaN
     * @param reason why it has that state, in words for operators
     */
    public record Entry(
            PeerDescriptor descriptor,
            PeerState state,
            double stateSinceMs,
            String reporter,
            Confidence confidence,
            double lastAckMs,
            String reason) {}

    /** What the decisions on requests are told of it. */
    public FleetView toFleetView() {
        return new FleetView(maxCount, healthProblem.isEmpty(), true);
    }
}
