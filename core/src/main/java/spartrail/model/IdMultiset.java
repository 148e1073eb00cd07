package spartrail.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Ids, each with the number of its occurrences. All operations but {@link #removeAll} take constant time. */
public final class IdMultiset {
    private final Map<String, Integer> countsById = new HashMap<>();

    /** Adds an occurrence of an id. */
    public void add(String id) {
        countsById.merge(id, 1, Integer::sum);
    }

    /** Removes an occurrence of an id; false if there is none. */
    public boolean remove(String id) {
        boolean contained = countsById.containsKey(id);
        countsById.computeIfPresent(id, (key, count) -> count == 1 ? null : count - 1);
        return contained;
    }

    /** Removes all ids; returns each as often as it occurred. */
    public List<String> removeAll() {
        List<String> ids = new ArrayList<>();
        countsById.forEach((id, count) -> ids.addAll(Collections.nCopies(count, id)));
        countsById.clear();
        return ids;
    }

    /** Whether an id occurs. */
    public boolean contains(String id) {
        return countsById.containsKey(id);
    }

    /** The different ids. */
    public Set<String> distinct() {
        return Collections.unmodifiableSet(countsById.keySet());
    }

    /** The number of different ids. */
    public int distinctIds() {
        return countsById.size();
    }
}
