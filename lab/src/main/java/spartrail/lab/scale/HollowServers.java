package spartrail.lab.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

/**
 * Endpoint lists of any size, without servers. Numbers assign shards round-robin; each full round is in the next zone.
 */
public final class HollowServers {
    private HollowServers() {}

    /** The live endpoint of this number. */
    public static Endpoint endpoint(int number, int shards, int zones) {
        return endpoint("s-" + number, number, shards, zones, Server.State.LIVE, 0);
    }

    /** An endpoint with the address, shard and zone of this number. */
    public static Endpoint endpoint(String id, int number, int shards, int zones, Server.State state, long bootMs) {
        InetSocketAddress address =
                new InetSocketAddress("10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255), 7000);
        return new Endpoint(id, address, "zone-" + number / shards % zones, "std", number % shards, state, 1, bootMs);
    }

    /** The complete list, as in the first response of the discovery service. */
    public static EndpointList createList(int servers, int shards, int zones) {
        List<Endpoint> endpoints = new ArrayList<>(servers);
        for (int number = 0; number < servers; number++) {
            endpoints.add(endpoint(number, shards, zones));
        }
        return new EndpointList(1, true, endpoints);
    }

    /** The list as JSON, as the discovery service sends it. */
    public static String toJson(EndpointList list) {
        StringBuilder text = new StringBuilder("{\"rev\":")
                .append(list.version())
                .append(",\"all\":")
                .append(list.isComplete())
                .append(",\"targets\":[");
        for (Endpoint endpoint : list.endpoints()) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(endpoint.id())
                    .append("\",\"endpoint\":\"")
                    .append(endpoint.address().getAddress().getHostAddress())
                    .append(':')
                    .append(endpoint.address().getPort())
                    .append("\",\"az\":\"")
                    .append(endpoint.zone())
                    .append("\",\"model\":\"")
                    .append(endpoint.kind())
                    .append("\",\"pod_group\":")
                    .append(endpoint.cell())
                    .append(",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":")
                    .append(endpoint.bootMs())
                    .append('}');
        }
        return text.append("]}").toString();
    }
}
