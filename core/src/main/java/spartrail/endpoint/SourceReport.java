package spartrail.endpoint;

import spartrail.model.Server;

/**
 * The report of one source on one endpoint; the registry publishes its merged result in the same form.
 *
 * @param id the name of the endpoint (discovery's uid), or null if the source has no names
 * @param address IPv4 or IPv6 address and port; may be null if the report says that the endpoint is gone
 * @param weight capacity relative to an ordinary server, which has 1
 * @param startedMs when its process started, on the node's clock; negative if long ago; NaN if the source does not
 *        report it
 * @param tier 0 is used first; a higher tier is used only if the cell has no endpoint in use of a lower tier
 */
public record SourceReport(
        String id,
        String address,
        String zone,
        String kind,
        int cell,
        Server.State state,
        double weight,
        double startedMs,
        int tier) {
    boolean hasStart() {
        return !Double.isNaN(startedMs);
    }

    /** A copy with the identity, state and start time that the registry publishes. */
    SourceReport toPublished(String newId, String newAddress, Server.State newState, double newStartedMs) {
        return new SourceReport(newId, newAddress, zone, kind, cell, newState, weight, newStartedMs, tier);
    }

    /** A copy with this address, for a report that lacks one. */
    SourceReport withAddress(String newAddress) {
        return new SourceReport(id, newAddress, zone, kind, cell, state, weight, startedMs, tier);
    }
}
