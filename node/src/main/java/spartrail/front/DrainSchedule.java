package spartrail.front;

import spartrail.config.DeploymentFile;

/**
 * The steps of a drain, in time since SIGTERM. In a rolling restart, a node that stops serving too early sends its
 * clients to a node that has not restarted yet; one that stops too late sends them to a node that has just begun to
 * drain.
 *
 * @param killAfterMs the earliest time at which the node is killed
 */
record DrainSchedule(double killAfterMs) {
    /**
     * A node is killed no sooner than the grace after the longest route timeout, which counts for at most this much.
     */
    private static final double MAX_COUNTED_ROUTE_TIMEOUT_MS = 3000;

    private static final double KILL_GRACE_MS = 700;
    private static final double LAST_REQUEST_BEFORE_KILL_MS = 1000;
    private static final double LAST_RESPONSE_BEFORE_KILL_MS = 150;
    /** Within this time the load balancer in front of the node has seen that it is not ready. */
    private static final double MIN_SERVING_MS = 450;
    /** The time limit for sending the bytes that were written last. */
    static final double FLUSH_TIMEOUT_MS = 50;

    static DrainSchedule of(DeploymentFile deployment) {
        return new DrainSchedule(
                KILL_GRACE_MS + Math.min(MAX_COUNTED_ROUTE_TIMEOUT_MS, deployment.longestClientTimeoutMs()));
    }

    /** The time by which each multiget is answered. */
    double lastResponseAfterMs() {
        return killAfterMs - LAST_RESPONSE_BEFORE_KILL_MS;
    }

    /**
     * The time from which each response closes its connection. A node that is terminated during its start has less time
     * than the schedule assumes and was never reported ready, so it has no clients to serve: it closes connections at
     * once.
     */
    double closeConnectionsAfterMs(boolean reportedReady) {
        return reportedReady ? Math.max(MIN_SERVING_MS, killAfterMs - LAST_REQUEST_BEFORE_KILL_MS) : 0;
    }

    /** The time by which the node stops waiting for the last client to disconnect. */
    double disconnectTimeoutMs() {
        return killAfterMs - LAST_RESPONSE_BEFORE_KILL_MS / 2 - FLUSH_TIMEOUT_MS / 2;
    }
}
