package spartrail.peers;

/**
 * How late this process does what is due. One long delay is a pause, after which others can't have been answered; many short
 * ones make it run late: a process that gets a small part of a core reads acknowledgements and refutations too late, in pauses
 * each of which is too short to count, and would take the others for dead.
 */
final class PauseDetector {
    /** A node whose mean lateness exceeds this part of the acknowledgement timeout runs late. */
    private static final double MAX_LATENESS_RATIO = 0.125;

    private static final double LATENESS_SMOOTHING = 0.1;

    private final GossipTimings timings;
    private double expectedMs;
    private double meanLatenessMs;

    PauseDetector(GossipTimings timings, double nowMs) {
        this.timings = timings;
        this.expectedMs = nowMs;
    }

    /** How much later than expected it is at that time, below 0 where it is earlier. */
    double latenessMs(double atMs) {
        return atMs - expectedMs;
    }

    boolean isPause(double latenessMs) {
        return latenessMs > timings.pauseThresholdMs();
    }

    /** The process is expected to run next at that time at the latest. */
    void expectAt(double atMs) {
        expectedMs = atMs;
    }

    /** The process ran at that time because of a message; what is due later is still expected. */
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
