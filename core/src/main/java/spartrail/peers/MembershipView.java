package spartrail.peers;

import java.util.List;
import java.util.Map;
import spartrail.model.FleetView;

/**
 * What a node knows of all front nodes, itself included.
 *
 * @param doubt why this node trusts its own view less now, empty where it does not: it decides nothing for the fleet then
 * @param there how many are held to be there, suspects included
 * @param least as many are surely there, as far as a node can be sure of others
 * @param most as many can be there: also those that may live on behind a cut
 * @param counts what was refused, dropped or doubted, by name
 */
public record MembershipView(
        String name,
        PeerState standing,
        String doubt,
        double atMs,
        int there,
        int least,
        int most,
        List<Seen> peers,
        Map<String, Long> counts) {
    /** How sure it is: by an answer of its own lately, by what others say, or in doubt. */
    public enum Sure {
        HEARD,
        TOLD,
        DOUBTED
    }

    /**
     * One node.
     *
     * @param sinceMs since when it stands so, by this node's clock
     * @param from who told so: this node itself, or the name of another one
     * @param heardMs when it last answered this node, or NaN
     */
    public record Seen(
            PeerDescriptor card,
            PeerState standing,
            double sinceMs,
            String from,
            Sure sure,
            double heardMs,
            String why) {}

    /** What the module is told of it. */
    public FleetView word() {
        return new FleetView(most, doubt.isEmpty(), true);
    }
}
