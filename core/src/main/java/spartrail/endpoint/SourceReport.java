package spartrail.endpoint;

import spartrail.model.Server;

/**
 * What one source says of one server.
 *
 * @param id its name where the source has names (the roll's uid), else null
 * @param endpoint host:port, a number address
 * @param rating capacity, as a multiple of the usual
 * @param bornMs when its process started, on the node's clock; negative if long ago; NaN where the source does not tell
 * @param tier 0 is used first, a higher one only where the cell has nobody better
 */
public record SourceReport(
        String id,
        String endpoint,
        String zone,
        String kind,
        int cell,
        Server.State state,
        double rating,
        double bornMs,
        int tier) {
    boolean tellsStart() {
        return !Double.isNaN(bornMs);
    }
}
