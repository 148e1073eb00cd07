package spartrail.endpoint;

import java.net.InetSocketAddress;
import java.util.List;
import spartrail.model.Server;

/**
 * A version of the endpoint list: either the complete list or the changes since an earlier version.
 *
 * @param isComplete true if endpoints missing from this list are gone; false if it contains only changed endpoints
 */
public record EndpointList(long version, boolean isComplete, List<Endpoint> endpoints) {
    /**
     * A server and the address at which this node connects to it.
     *
     * @param bootMs when its process started, as Unix time in milliseconds; 0 if it started long ago
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Server.State state,
            double weight,
            long bootMs) {
        /** A copy of this endpoint in another state. */
        public Endpoint withState(Server.State other) {
            return new Endpoint(id, address, zone, kind, cell, other, weight, bootMs);
        }
    }
}
