package spartrail.front;

/**
 * How long a node has just stood still. Danger: what clients sent meanwhile is read late, and its time would be
 * counted from the reading. Until the sockets have been gone through, whatever is read counts as come at the
 * beginning of the gap, as it may be that old.
 */
final class PauseDetector {
    /** A pass that was asked for before the gap, one that takes what waited, one for connections just accepted. */
    private static final int POLLS_AFTER_PAUSE = 3;

    private final double iterationMs;
    private double plannedWakeMs;
    private double pauseMs;
    private int pollsLeft;

    PauseDetector(double iterationMs) {
        this.iterationMs = iterationMs;
    }

    /** When the node is to wake at the latest. */
    void planWake(double wakeMs) {
        plannedWakeMs = wakeMs;
    }

    /** It wakes, by an event or because something is due; what is within two turns of the plan is no gap. */
    void onWake(double nowMs) {
        double lateMs = nowMs - plannedWakeMs;
        if (lateMs > 2 * iterationMs && lateMs > pauseMs) {
            pauseMs = lateMs;
            pollsLeft = POLLS_AFTER_PAUSE;
        }
    }

    /** All sockets have been gone through. */
    void onPollCompleted() {
        if (pollsLeft > 0 && --pollsLeft == 0) {
            pauseMs = 0;
        }
    }

    /** A further pass is wanted at once. */
    boolean needsPoll() {
        return pollsLeft > 0;
    }

    /** How much older than its reading a request may be. */
    double pauseMs() {
        return pauseMs;
    }
}
