package spartrail.endpoint;

import spartrail.model.Server;

/**
 * What one source reports on one endpoint; also what the registry publishes of it.
 *
 * @param id the endpoint's name where the source has names (discovery's uid), else null
 * @param address IPv4 or IPv6 address and port; null where the report ends the endpoint
 * @param weight capacity, as a multiple of the usual
 * @param startedMs when its process started, on the node's clock; negative if long ago; NaN where the source does not report it
 * @param tier 0 is used first, a higher one only where the cell has nobody better
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

    /** The same endpoint as the registry publishes it. */
    SourceReport published(String newId, String newAddress, Server.State newState, double newStartedMs) {
        return new SourceReport(newId, newAddress, zone, kind, cell, newState, weight, newStartedMs, tier);
    }

    /** The same report with the address that it lacks. */
    SourceReport withAddress(String newAddress) {
        return new SourceReport(id, newAddress, zone, kind, cell, state, weight, startedMs, tier);
    }
}
