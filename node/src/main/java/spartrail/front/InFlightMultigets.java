package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.client.ClientRequest;
import spartrail.intake.ExecutedRequestIds;
import spartrail.model.Attempt;
import spartrail.model.IdMultiset;

/**
 * The multigets in flight, by the ids that their clients gave them, and their total size; and which ids must not be used
 * again yet. Owned by the coordinator's thread.
 *
 * <p>An id stays in use until its multiget has ended and no server can answer an attempt of it any more. Servers
 * identify a part by its multiget's id and its shard alone: if the id were used again before, the late response would be
 * taken for one to the new multiget, whose client would get a value that was made for another one. If a part of a
 * multiget may have run that is not idempotent, its id is rejected for much longer ({@link ExecutedRequestIds}).
 */
final class InFlightMultigets {
    private final Map<String, ClientMultiget> multigetsById = new HashMap<>();
    /** The ids of multigets, in flight or ended, once for each attempt that a server may still answer. */
    private final IdMultiset answerableAttempts = new IdMultiset();
    /** The ids of multigets of which a part may have run that must not run twice. */
    private final ExecutedRequestIds executedIds = new ExecutedRequestIds();
    /** The number of multigets plus the number of their parts. */
    private int size;

    /** Whether a multiget with so many parts would not exceed the limit. */
    boolean hasCapacityFor(int parts, int maxSize) {
        return size + 1 + parts <= maxSize;
    }

    /** Whether a multiget with this id must not begin, as another one is in flight, may be answered or has run. */
    boolean isIdInUse(String id, double nowMs) {
        return multigetsById.containsKey(id)
                || answerableAttempts.contains(id)
                || executedIds.contains(ClientMultiget.hashId(id), nowMs);
    }

    /** Adds the end of an attempt, after which the id of its multiget may have to be rejected. */
    void addOutcome(ClientMultiget multiget, Attempt.Outcome outcome, double nowMs) {
        executedIds.addOutcome(multiget.id, multiget.opType.idempotency, outcome, nowMs);
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
