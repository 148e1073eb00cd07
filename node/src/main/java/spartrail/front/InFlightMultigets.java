package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.client.ClientRequest;

/**
 * The multigets in flight, by the id that their clients gave them, and how much of the node's capacity they take. Owned by the
 * coordinator's thread.
 */
final class InFlightMultigets {
    private final Map<String, ClientMultiget> multigetsById = new HashMap<>();
    /** Multigets and parts, added up. */
    private int size;

    /** Whether a multiget of this id with so many parts may be added without passing the limit. */
    boolean hasCapacityFor(String id, int parts, int maxSize) {
        return !multigetsById.containsKey(id) && size + 1 + parts <= maxSize;
    }

    void add(ClientMultiget multiget) {
        multigetsById.put(multiget.query.id(), multiget);
        size += multiget.size();
    }

    /** Removes it; false if it was not in flight any more. */
    boolean remove(ClientMultiget multiget) {
        boolean wasInFlight = multigetsById.remove(multiget.query.id(), multiget);
        if (wasInFlight) {
            size -= multiget.size();
        }
        return wasInFlight;
    }

    boolean contains(ClientMultiget multiget) {
        return multigetsById.get(multiget.query.id()) == multiget;
    }

    /** The multiget of this very request, or null. */
    ClientMultiget of(ClientRequest request) {
        ClientMultiget multiget = multigetsById.get(request.id);
        return multiget != null && multiget.request == request ? multiget : null;
    }

    /** A copy of all of them. */
    List<ClientMultiget> all() {
        return List.copyOf(multigetsById.values());
    }

    int count() {
        return multigetsById.size();
    }
}
