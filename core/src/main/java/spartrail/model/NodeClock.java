package spartrail.model;

/**
 * The clock of a node: Unix time in milliseconds with fractions, as it was at the start, moved on by a clock
 * that never steps. Danger: with a clock that begins at the node's start, a server that started shortly
 * before would have a negative time of birth and be taken for warm.
 */
public final class NodeClock {
    private final double startMs = System.currentTimeMillis();
    private final long startNs = System.nanoTime();

    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6;
    }

    /** The time on this clock of a Unix time on the machine's. */
    public double at(long unixMs) {
        return nowMs() - (System.currentTimeMillis() - unixMs);
    }
}
