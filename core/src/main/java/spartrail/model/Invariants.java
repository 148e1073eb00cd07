package spartrail.model;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What must hold: asserted where assertions are on, counted everywhere. */
public final class Invariants {
    private final Map<String, LongAdder> violations = new ConcurrentHashMap<>();

    /** Whether it holds; a caller that goes on does so only on the safe side. */
    public boolean check(boolean condition, String name) {
        if (!condition) {
            violations.computeIfAbsent(name, key -> new LongAdder()).increment();
            assert false : name;
        }
        return condition;
    }

    /** How often each was broken, by name; empty when all is well. */
    public Map<String, Long> violations() {
        Map<String, Long> counts = new TreeMap<>();
        violations.forEach((name, count) -> counts.put(name, count.sum()));
        return counts;
    }
}
