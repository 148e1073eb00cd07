package spartrail.peers.transport;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import spartrail.model.AddressRanges;
import spartrail.peers.GossipTimings;

/**
 * The validated content of a peers file.
 *
 * @param advertise address at which other nodes reach this one
 * @param allowed address ranges of nodes
 * @param operators address ranges of operators
 * @param sections sections for channels, by name; each channel validates its section itself
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
    /** The section of that name for a channel; empty if the file has none. */
    Map<?, ?> section(String sectionName) {
        return sections.getOrDefault(sectionName, Map.of());
    }

    /** Whether a changed file has settings that a running node cannot apply without a restart. */
    boolean isRestartNeededFor(PeersConfig changed) {
        return !changed.fleet.equals(fleet)
                || !changed.name.equals(name)
                || !changed.listen.equals(listen)
                || !changed.advertise.equals(advertise)
                || !changed.timings.equals(timings);
    }
}
