package spartrail.front;

import spartrail.config.DeploymentFile;

/**
 * When a draining node does what, counted from SIGTERM. Where nodes are replaced one after another, one that stops early leaves its
 * clients to one that is not back yet, and one that stops late leaves them to one that has just been asked to end.
 *
 * @param killAfterMs the node is killed no sooner than that
 */
record DrainSchedule(double killAfterMs) {
    /** A node is killed no sooner than the longest route timeout, counted as so long at the most, and the grace. */
    private static final double MAX_COUNTED_ROUTE_TIMEOUT_MS = 3000;

    private static final double KILL_GRACE_MS = 700;
    private static final double LAST_REQUEST_BEFORE_KILL_MS = 1000;
    private static final double LAST_RESPONSE_BEFORE_KILL_MS = 150;
    /** Whoever routes clients to this node has heard by then that it is not ready. */
    private static final double MIN_SERVING_MS = 450;
    /** What was written last is on its way within this time. */
    static final double FLUSH_TIMEOUT_MS = 50;

    static DrainSchedule of(DeploymentFile deployment) {
        return new DrainSchedule(
                KILL_GRACE_MS + Math.min(MAX_COUNTED_ROUTE_TIMEOUT_MS, deployment.longestClientTimeoutMs()));
    }

    /** Until then each multiget is answered. */
    double lastResponseAfterMs() {
        return killAfterMs - LAST_RESPONSE_BEFORE_KILL_MS;
    }

    /**
     * From then on each response is the last of its connection. A node that is terminated while it starts has less time than the
     * schedule reckons with, and nobody was sent to it: it stops at once.
     */
    double closeConnectionsAfterMs(boolean reportedReady) {
        return reportedReady ? Math.max(MIN_SERVING_MS, killAfterMs - LAST_REQUEST_BEFORE_KILL_MS) : 0;
    }

    /** Until then the last client is waited for. */
    double disconnectTimeoutMs() {
        return killAfterMs - LAST_RESPONSE_BEFORE_KILL_MS / 2 - FLUSH_TIMEOUT_MS / 2;
    }
}
