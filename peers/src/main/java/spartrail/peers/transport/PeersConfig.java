package spartrail.peers.transport;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import spartrail.model.AddressRanges;
import spartrail.peers.GossipTimings;

/**
 * What a peers' file says, checked.
 *
 * @param advertise the address at which other nodes reach this one
 * @param allowed addresses of nodes
 * @param operators addresses of operators
 * @param sections what the file says to channels, which read it themselves, by the section's name
 */
record PeersConfig(
        String fleet,
        String name,
        InetSocketAddress listen,
        String advertise,
        List<String> seeds,
        AddressRanges allowed,
        AddressRanges operators,
        String zone,
        double weight,
        String settingsVersion,
        GossipTimings timings,
        Map<String, Map<?, ?>> sections) {
    /** What the file says to a channel; empty where it says nothing. */
    Map<?, ?> section(String sectionName) {
        return sections.getOrDefault(sectionName, Map.of());
    }

    /** Whether a changed file changes what a running node can't change. */
    boolean needsRestartFor(PeersConfig changed) {
        return !changed.fleet.equals(fleet)
                || !changed.name.equals(name)
                || !changed.listen.equals(listen)
                || !changed.advertise.equals(advertise)
                || !changed.timings.equals(timings);
    }
}
