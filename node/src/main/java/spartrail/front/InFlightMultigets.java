package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.client.ClientRequest;
import spartrail.model.IdMultiset;

/**
 * The multigets in flight, by the ids that their clients gave them, and their total size. Owned by the coordinator's
 * thread.
 *
 * <p>An id stays in use until its multiget has ended and no server can answer an attempt of it any more. Servers
 * identify a part by its multiget's id and its shard alone: if the id were used again before, the late response would be
 * taken for one to the new multiget, whose client would get a value that was made for another one.
 */
final class InFlightMultigets {
    private final Map<String, ClientMultiget> multigetsById = new HashMap<>();
    /** The ids of multigets, in flight or ended, once for each attempt that a server may still answer. */
    private final IdMultiset answerableAttempts = new IdMultiset();
    /** The number of multigets plus the number of their parts. */
    private int size;

    /** Whether this id is not in use and a multiget with so many parts would not exceed the limit. */
    boolean hasCapacityFor(String id, int parts, int maxSize) {
        boolean isInUse = multigetsById.containsKey(id) || answerableAttempts.contains(id);
        return !isInUse && size + 1 + parts <= maxSize;
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

    /** Adds an attempt that a server may answer from now on. */
    void addAnswerableAttempt(String id) {
        answerableAttempts.add(id);
    }

    /** Removes an attempt that no server can answer any more. */
    void removeAnswerableAttempt(String id) {
        answerableAttempts.remove(id);
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
