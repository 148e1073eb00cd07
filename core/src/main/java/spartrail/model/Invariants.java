package spartrail.model;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What must hold: asserted where assertions are on, counted everywhere. */
public final class Invariants {
    private final Map<String, LongAdder> broken = new ConcurrentHashMap<>();

    /** Whether it holds; a caller that goes on does so only on the safe side. */
    public boolean holds(boolean condition, String what) {
        if (!condition) {
            broken.computeIfAbsent(what, name -> new LongAdder()).increment();
            assert false : what;
        }
        return condition;
    }

    /** How often each was broken, by name; empty when all is well. */
    public Map<String, Long> broken() {
        Map<String, Long> counts = new TreeMap<>();
        broken.forEach((name, count) -> counts.put(name, count.sum()));
        return counts;
    }
}
