package spartrail.model;

/**
 * The clock of a node: the Unix time at its start in milliseconds with fractions, advanced by a clock that never steps.
 * With a clock that begins at 0, a server that started shortly before the node would have a negative start time and be
 * treated as warm.
 *
 * <p>Drills can offset the machine's clock (property {@code spartrail.clock.aheadMs}, milliseconds) and make this clock
 * run fast or slow (property {@code spartrail.clock.pace}, 1 is the correct rate).
 */
public final class NodeClock {
    private static final long AHEAD_MS = Long.getLong("spartrail.clock.aheadMs", 0);
    private static final double RATE = Double.parseDouble(System.getProperty("spartrail.clock.pace", "1"));

    private final double startMs = unixMs();
    private final long startNs = System.nanoTime();

    /** Returns the current time on this clock. */
    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6 * RATE;
    }

    /** Returns the Unix time of the machine's clock, which may step. */
    public static long unixMs() {
        return System.currentTimeMillis() + AHEAD_MS;
    }
}
