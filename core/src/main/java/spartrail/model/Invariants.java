package spartrail.model;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Invariants that are checked while the program runs: asserted where assertions are on, counted everywhere. */
public final class Invariants {
    private final Map<String, LongAdder> violations = new ConcurrentHashMap<>();

    /** Returns whether the condition holds; a caller whose invariant is violated takes the safe way. */
    public boolean check(boolean condition, String name) {
        if (!condition) {
            violations.computeIfAbsent(name, key -> new LongAdder()).increment();
            assert false : name;
        }
        return condition;
    }

    /** How often each invariant was violated, by name. */
    public Map<String, Long> violations() {
        Map<String, Long> counts = new TreeMap<>();
        violations.forEach((name, count) -> counts.put(name, count.sum()));
        return counts;
    }
}
