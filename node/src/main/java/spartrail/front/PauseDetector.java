package spartrail.front;

/**
 * How long the process has just been paused, by the scheduler or its virtual machine. What clients sent meanwhile is read late, and
 * its time must not be counted from the reading: until the sockets have been gone through, whatever is read counts as come at the
 * beginning of the pause, as it may be that old. Owned by the coordinator's thread.
 */
final class PauseDetector {
    /** One that was asked for before the pause, one that takes what waited, one for connections just accepted. */
    private static final int POLLS_AFTER_PAUSE = 3;

    private final double iterationMs;
    private double plannedWakeMs;
    private double pauseMs;
    private int pollsLeft;

    PauseDetector(double iterationMs) {
        this.iterationMs = iterationMs;
    }

    /** The loop is to wake then at the latest. */
    void planWake(double wakeMs) {
        plannedWakeMs = wakeMs;
    }

    /** The loop wakes, by an event or a timer; what is within two iterations of the plan is no pause. */
    void onWake(double nowMs) {
        double lateMs = nowMs - plannedWakeMs;
        if (lateMs > 2 * iterationMs && lateMs > pauseMs) {
            pauseMs = lateMs;
            pollsLeft = POLLS_AFTER_PAUSE;
        }
    }

    /** The I/O thread has gone through all sockets. */
    void onPollCompleted() {
        if (pollsLeft > 0 && --pollsLeft == 0) {
            pauseMs = 0;
        }
    }

    /** Whether the sockets are to be gone through again at once. */
    boolean needsPoll() {
        return pollsLeft > 0;
    }

    /** How much older than its reading a request may be; 0 without a pause. */
    double pauseMs() {
        return pauseMs;
    }
}
