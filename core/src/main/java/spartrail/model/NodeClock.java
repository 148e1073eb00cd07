package spartrail.model;

/**
 * The clock of a node: Unix time in milliseconds with fractions, as it was at the start, moved on by a clock
 * that never steps. With a clock that begins at the node's start, a server that started shortly before would
 * have a negative start time and be taken for warm.
 *
 * <p>Drills let the machine's clock stand ahead or behind (property {@code spartrail.clock.aheadMs}, milliseconds) and this one
 * run fast or slow ({@code spartrail.clock.pace}, 1 is right).
 */
public final class NodeClock {
    private static final long AHEAD_MS = Long.getLong("spartrail.clock.aheadMs", 0);
    private static final double RATE = Double.parseDouble(System.getProperty("spartrail.clock.pace", "1"));

    private final double startMs = unixMs();
    private final long startNs = System.nanoTime();

    /** The present time on this clock. */
    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6 * RATE;
    }

    /** The time on this clock of a Unix time on the machine's. */
    public double toNodeTimeMs(long unixMs) {
        return nowMs() - (unixMs() - unixMs);
    }

    /** The Unix time by the machine's clock, which may step. */
    public static long unixMs() {
        return System.currentTimeMillis() + AHEAD_MS;
    }
}
