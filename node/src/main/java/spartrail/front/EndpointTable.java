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

/** The servers that this node may send to, as last listed; owned by the coordinator's thread. Cost: an update walks its own lines. */
final class EndpointTable {
    /**
     * What an update means for attempts that have not left yet.
     *
     * @param serverIds servers that are new, drain, are gone, or are another process than before
     * @param addresses where nothing that waits may leave for any more
     */
    record Changes(Set<String> serverIds, List<InetSocketAddress> addresses) {
        private void add(EndpointList.Endpoint endpoint) {
            serverIds.add(endpoint.id());
            addresses.add(endpoint.address());
        }
    }

    private final Map<String, EndpointList.Endpoint> endpoints = new HashMap<>();

    /** Whether the server is listed and not gone. */
    boolean contains(String serverId) {
        return endpoints.containsKey(serverId);
    }

    /** The address of a server that is contained. */
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

    private static boolean isOtherProcess(EndpointList.Endpoint previous, EndpointList.Endpoint endpoint) {
        return previous == null
                || !endpoint.address().equals(previous.address())
                || endpoint.bootMs() != previous.bootMs();
    }
}
