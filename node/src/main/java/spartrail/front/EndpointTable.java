package spartrail.front;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.endpoint.EndpointList;
import spartrail.model.Server;

/**
 * The servers that this node may send to, by the last endpoint update. Owned by the coordinator's thread. Cost: an
 * update is linear in its entries, a complete list also in the servers known before.
 */
final class EndpointTable {
    /**
     * The servers and addresses to which attempts that are not sent yet must not be sent any more.
     *
     * @param serverIds servers that are new, draining or gone, or whose process was replaced
     * @param addresses the addresses of these servers
     */
    record Changes(Set<String> serverIds, List<InetSocketAddress> addresses) {
        private void add(EndpointList.Endpoint endpoint) {
            serverIds.add(endpoint.id());
            addresses.add(endpoint.address());
        }
    }

    private final Map<String, EndpointList.Endpoint> endpoints = new HashMap<>();

    /** Whether the server is listed and its state is not GONE. */
    boolean contains(String serverId) {
        return endpoints.containsKey(serverId);
    }

    /** The address of a server that the table contains. */
    InetSocketAddress addressOf(String serverId) {
        return endpoints.get(serverId).address();
    }

    /** Applies a complete list or a list of changes. */
    Changes apply(EndpointList list) {
        Changes changes = new Changes(new HashSet<>(), new ArrayList<>());
        Set<String> gone = list.isComplete() ? new HashSet<>(endpoints.keySet()) : new HashSet<>();
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            if (endpoint.state() == Server.State.GONE) {
                gone.add(endpoint.id());
                continue;
            }
            gone.remove(endpoint.id());
            EndpointList.Endpoint previous = endpoints.put(endpoint.id(), endpoint);
            if (isOtherProcess(previous, endpoint) || endpoint.state() == Server.State.DRAINING) {
                changes.add(endpoint);
            }
        }
        for (String id : gone) {
            EndpointList.Endpoint endpoint = endpoints.remove(id);
            if (endpoint != null) {
                changes.add(endpoint);
            }
        }
        return changes;
    }

    /** Whether the server is new, has moved, or has been restarted. */
    private static boolean isOtherProcess(EndpointList.Endpoint previous, EndpointList.Endpoint endpoint) {
        return previous == null
                || !endpoint.address().equals(previous.address())
                || endpoint.bootMs() != previous.bootMs();
    }
}
