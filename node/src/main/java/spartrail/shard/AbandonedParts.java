package spartrail.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids of the parts of one connection for which the node no longer waits, but which the server may still answer. An
 * id occurs more than once if several attempts of a part were given up. Keeps ids only, as the text of a query would
 * stay in memory with its part.
 */
final class AbandonedParts {
    private final Map<String, Integer> attemptsById = new HashMap<>();

    /** Adds an attempt that was given up after its frame had begun. */
    void add(String partId) {
        attemptsById.merge(partId, 1, Integer::sum);
    }

    /** Removes one attempt, as its late response has arrived; false if there is none with this id. */
    boolean remove(String partId) {
        boolean contained = attemptsById.containsKey(partId);
        attemptsById.computeIfPresent(partId, (id, attempts) -> attempts == 1 ? null : attempts - 1);
        return contained;
    }

    /** Removes all attempts, as the connection is closed; returns the id of each. */
    List<String> removeAll() {
        List<String> ids = new ArrayList<>();
        attemptsById.forEach((id, attempts) -> {
            for (int i = 0; i < attempts; i++) {
                ids.add(id);
            }
        });
        attemptsById.clear();
        return ids;
    }

    /** The number of different ids. */
    int size() {
        return attemptsById.size();
    }
}
