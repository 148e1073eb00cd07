package spartrail.model;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Checks invariants while the program runs. A violation is counted, and fails an assertion if assertions are enabled.
 */
public final class Invariants {
    private final Map<String, LongAdder> violations = new ConcurrentHashMap<>();

    /** Returns whether the condition holds. If it does not, the caller must continue in the safest way. */
    public boolean check(boolean condition, String name) {
        if (!condition) {
            violations.computeIfAbsent(name, key -> new LongAdder()).increment();
            assert false : name;
        }
        return condition;
    }

    /** Returns how often each invariant was violated, by name. */
    public Map<String, Long> violations() {
        Map<String, Long> counts = new TreeMap<>();
        violations.forEach((name, count) -> counts.put(name, count.sum()));
        return counts;
    }
}
