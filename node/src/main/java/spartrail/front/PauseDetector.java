package spartrail.front;

/**
 * Detects that the process was paused, by the scheduler or its virtual machine, and for how long. Requests that arrived
 * during the pause are read late, so their age cannot be counted from the time of reading: until all sockets have been
 * read, each request is assumed to have arrived when the pause began. Owned by the coordinator's thread.
 */
final class PauseDetector {
    /**
     * One poll that may have been requested before the pause, one that reads the bytes that arrived during it, one for
     * the connections that were accepted after it.
     */
    private static final int POLLS_AFTER_PAUSE = 3;

    private final double iterationMs;
    private double plannedWakeMs;
    private double pauseMs;
    private int pollsLeft;

    PauseDetector(double iterationMs) {
        this.iterationMs = iterationMs;
    }

    /** Sets the latest time at which the loop is to wake. */
    void planWake(double wakeMs) {
        plannedWakeMs = wakeMs;
    }

    /**
     * Compares the time at which the loop woke with the planned one; a delay of up to two iterations is not a pause.
     */
    void onWake(double nowMs) {
        double lateMs = nowMs - plannedWakeMs;
        if (lateMs > 2 * iterationMs && lateMs > pauseMs) {
            pauseMs = lateMs;
            pollsLeft = POLLS_AFTER_PAUSE;
        }
    }

    /** Counts a completed poll, in which the I/O thread has read all ready sockets. */
    void onPollCompleted() {
        if (pollsLeft > 0 && --pollsLeft == 0) {
            pauseMs = 0;
        }
    }

    /** Whether the sockets must be polled again at once. */
    boolean needsPoll() {
        return pollsLeft > 0;
    }

    /** How long before its reading a request may have arrived; 0 if there was no pause. */
    double pauseMs() {
        return pauseMs;
    }
}
