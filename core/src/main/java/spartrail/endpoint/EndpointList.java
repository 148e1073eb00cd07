package spartrail.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/**
 * A version of the endpoint list, or what changed with it.
 *
 * @param isComplete whether endpoints that it lacks are gone; else it holds changes only
 */
public record EndpointList(long version, boolean isComplete, List<Endpoint> endpoints) {
    /**
     * A server and its address as this node reaches it.
     *
     * @param bootMs when its process started, as Unix time; 0 if long ago
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
        /** The same server in another state. */
        public Endpoint withState(Server.State other) {
            return new Endpoint(id, address, zone, kind, cell, other, weight, bootMs);
        }

        private Server toServer(NodeClock clock) {
            Server server = new Server(id);
            server.zone = zone;
            server.kind = kind;
            server.cell = cell;
            server.state = state;
            server.weight = weight;
            server.startedAtMs = bootMs > 0 ? clock.toNodeTimeMs(bootMs) : -1;
            return server;
        }
    }

    /** The endpoints as the coordinator takes them. */
    public List<Server> toServers(NodeClock clock) {
        List<Server> servers = new ArrayList<>(endpoints.size());
        endpoints.forEach(endpoint -> servers.add(endpoint.toServer(clock)));
        return servers;
    }
}
