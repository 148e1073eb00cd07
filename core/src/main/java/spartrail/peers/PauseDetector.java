package spartrail.peers;

/**
 * Measures how late this process runs its timers. One long delay is a pause, during which the process could not receive
 * answers. Many short delays mean that it runs late: a process with a small share of a core reads acknowledgements and
 * refutations too late, although each single pause is too short to be detected, and would declare other nodes dead.
 */
final class PauseDetector {
    /** A node runs late if its mean lateness exceeds this fraction of the acknowledgement timeout. */
    private static final double MAX_LATENESS_RATIO = 0.125;

    private static final double LATENESS_SMOOTHING = 0.1;

    private final GossipTimings timings;
    private double expectedMs;
    private double meanLatenessMs;

    PauseDetector(GossipTimings timings, double nowMs) {
        this.timings = timings;
        this.expectedMs = nowMs;
    }

    /** How many milliseconds later than expected the process runs at that time; negative if it runs earlier. */
    double latenessMs(double atMs) {
        return atMs - expectedMs;
    }

    boolean isPause(double latenessMs) {
        return latenessMs > timings.pauseThresholdMs();
    }

    /** Sets the latest time at which the process is expected to run next. */
    void expectAt(double atMs) {
        expectedMs = atMs;
    }

    /** Notes that a message made the process run at that time; a later expected time remains. */
    void onMessage(double atMs) {
        expectedMs = Math.max(expectedMs, atMs);
    }

    void recordLateness(double latenessMs) {
        meanLatenessMs += LATENESS_SMOOTHING * (Math.min(latenessMs, timings.ackTimeoutMs()) - meanLatenessMs);
    }

    double meanLatenessMs() {
        return meanLatenessMs;
    }

    boolean isRunningLate() {
        return meanLatenessMs > MAX_LATENESS_RATIO * timings.ackTimeoutMs();
    }
}
