package spartrail.peers;

import java.util.List;
import java.util.Map;
import spartrail.model.FleetView;

/**
 * What a node knows of all front nodes, itself included.
 *
 * @param healthProblem why this node trusts its own view less now, empty where it does not: it decides nothing for the fleet then
 * @param presentCount how many are held to be there, suspects included
 * @param minCount as many are surely there, as far as a node can be sure of others
 * @param maxCount as many can be there: also those that may live on behind a cut
 * @param counters what was refused, dropped or doubted, by name
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
    /** How sure it is: by an answer of its own lately, by what others say, or in doubt. */
    public enum Confidence {
        DIRECT,
        REPORTED,
        LOW
    }

    /**
     * One node.
     *
     * @param stateSinceMs since when it stands so, by this node's clock
     * @param reporter who told so: this node itself, or the name of another one
     * @param lastAckMs when it last answered this node, or NaN
     */
    public record Entry(
            PeerDescriptor descriptor,
            PeerState state,
            double stateSinceMs,
            String reporter,
            Confidence confidence,
            double lastAckMs,
            String reason) {}

    /** What the module is told of it. */
    public FleetView toFleetView() {
        return new FleetView(maxCount, healthProblem.isEmpty(), true);
    }
}
