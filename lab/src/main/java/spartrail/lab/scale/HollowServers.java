package spartrail.lab.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

/** Endpoint lists of any size, without servers: shards are assigned round-robin, then zones. */
public final class HollowServers {
    private HollowServers() {}

    /** The endpoint of this number. */
    public static Endpoint endpoint(int number, int shards, int zones) {
        return endpoint("s-" + number, number, shards, zones, Server.State.LIVE, 0);
    }

    /** An endpoint with the shard and zone of this number. */
    public static Endpoint endpoint(String id, int number, int shards, int zones, Server.State state, long bootMs) {
        InetSocketAddress address =
                new InetSocketAddress("10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255), 7000);
        return new Endpoint(id, address, "zone-" + number / shards % zones, "std", number % shards, state, 1, bootMs);
    }

    /** The complete list, as discovery's first response. */
    public static EndpointList list(int servers, int shards, int zones) {
        List<Endpoint> lines = new ArrayList<>(servers);
        for (int number = 0; number < servers; number++) {
            lines.add(endpoint(number, shards, zones));
        }
        return new EndpointList(1, true, lines);
    }

    /** The list as discovery sends it. */
    public static String json(EndpointList list) {
        StringBuilder text = new StringBuilder("{\"rev\":")
                .append(list.version())
                .append(",\"all\":")
                .append(list.isComplete())
                .append(",\"targets\":[");
        for (Endpoint line : list.endpoints()) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(line.id())
                    .append("\",\"endpoint\":\"")
                    .append(line.address().getAddress().getHostAddress())
                    .append(':')
                    .append(line.address().getPort())
                    .append("\",\"az\":\"")
                    .append(line.zone())
                    .append("\",\"model\":\"")
                    .append(line.kind())
                    .append("\",\"pod_group\":")
                    .append(line.cell())
                    .append(",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":")
                    .append(line.bootMs())
                    .append('}');
        }
        return text.append("]}").toString();
    }
}
