package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.client.ClientRequest;

/**
 * The multigets in flight, by the ids that their clients gave them, and their total size. Owned by the coordinator's
 * thread.
 */
final class InFlightMultigets {
    private final Map<String, ClientMultiget> multigetsById = new HashMap<>();
    /** The number of multigets plus the number of their parts. */
    private int size;

    /** Whether this id is not in flight and a multiget with so many parts would not exceed the limit. */
    boolean hasCapacityFor(String id, int parts, int maxSize) {
        return !multigetsById.containsKey(id) && size + 1 + parts <= maxSize;
    }

    void add(ClientMultiget multiget) {
        multigetsById.put(multiget.query.id(), multiget);
        size += multiget.size();
    }

    /** Removes a multiget; false if it was not in flight any more. */
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

    /** The multiget of this request, or null. */
    ClientMultiget find(ClientRequest request) {
        ClientMultiget multiget = multigetsById.get(request.id);
        return multiget != null && multiget.request == request ? multiget : null;
    }

    /** A copy of the multigets in flight. */
    List<ClientMultiget> all() {
        return List.copyOf(multigetsById.values());
    }

    int count() {
        return multigetsById.size();
    }
}
