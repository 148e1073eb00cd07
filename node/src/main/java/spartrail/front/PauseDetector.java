package spartrail.front;

/**
 * How long a node has just stood still. Danger: what clients sent meanwhile is read late, and its time would be
 * counted from the reading. Until the sockets have been gone through, whatever is read counts as come at the
 * beginning of the gap, as it may be that old.
 */
final class PauseDetector {
    /** A pass that was asked for before the gap, one that takes what waited, one for connections just accepted. */
    private static final int PASSES = 3;

    private final double turnMs;
    private double plannedMs;
    private double gapMs;
    private int passesLeft;

    PauseDetector(double turnMs) {
        this.turnMs = turnMs;
    }

    /** When the node is to wake at the latest. */
    void plan(double wakeMs) {
        plannedMs = wakeMs;
    }

    /** It wakes, by an event or because something is due; what is within two turns of the plan is no gap. */
    void woke(double nowMs) {
        double lateMs = nowMs - plannedMs;
        if (lateMs > 2 * turnMs && lateMs > gapMs) {
            gapMs = lateMs;
            passesLeft = PASSES;
        }
    }

    /** All sockets have been gone through. */
    void passed() {
        if (passesLeft > 0 && --passesLeft == 0) {
            gapMs = 0;
        }
    }

    /** A further pass is wanted at once. */
    boolean passWanted() {
        return passesLeft > 0;
    }

    /** How much older than its reading a request may be. */
    double gapMs() {
        return gapMs;
    }
}
