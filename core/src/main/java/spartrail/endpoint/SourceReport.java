package spartrail.endpoint;

import spartrail.model.Server;

/**
 * What one source says of one server.
 *
 * @param id its name where the source has names (the roll's uid), else null
 * @param address host:port, a number address
 * @param weight capacity, as a multiple of the usual
 * @param startedMs when its process started, on the node's clock; negative if long ago; NaN where the source does not tell
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
}
