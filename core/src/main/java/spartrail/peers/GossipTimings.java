package spartrail.peers;

/**
 * Timeouts, intervals and limits of the gossip protocol.
 *
 * @param probeIntervalMs length of a round, in which one node is probed; a crash is detected within about four to eight
 *     rounds
 * @param ackTimeoutMs time to wait for an acknowledgement before relays are asked; shorter than a round
 * @param suspicionRounds minimum length of a suspicion, in rounds times the decimal logarithm of the fleet size (at
 *     least 1); a suspicion lasts three times as long while only one node suspects the peer
 * @param pauseThresholdMs a process that runs later than scheduled by more than this is considered to have paused
 * @param maxMessageDelayMs messages with a longer transit time are dropped
 * @param departedRetentionMs time for which a node that is gone or has left is remembered and still probed
 * @param maxPeers maximum number of known peers; further ones are rejected and counted
 * @param maxUpdateBytes maximum size of the updates in one message
 * @param maxAnswersPerSecond maximum number of answers sent per second, half of which may go to unknown nodes
 */
public record GossipTimings(
        double probeIntervalMs,
        double ackTimeoutMs,
        double suspicionRounds,
        double pauseThresholdMs,
        double maxMessageDelayMs,
        double departedRetentionMs,
        int maxPeers,
        int maxUpdateBytes,
        int maxAnswersPerSecond) {
    /** Defaults for nodes in one data centre. */
    public static final GossipTimings DEFAULT = new GossipTimings(500, 200, 3, 250, 5000, 600_000, 1024, 1000, 200);

    /**
     * Rounds until a crashed node is suspected: in all but one of 20,000 cases some node has probed it by then, and
     * that probe's round has ended.
     */
    private static final double DETECTION_ROUNDS = 12;

    private static final double MAX_ROUND_JITTER = 1.1;
    private static final double MAX_SUSPICION_FACTOR = 3;

    /** Returns a copy with all times multiplied by the factor, except for the retention of departed nodes. */
    public GossipTimings scaledBy(double factor) {
        return new GossipTimings(
                probeIntervalMs * factor,
                ackTimeoutMs * factor,
                suspicionRounds,
                pauseThresholdMs * factor,
                maxMessageDelayMs * factor,
                departedRetentionMs,
                maxPeers,
                maxUpdateBytes,
                maxAnswersPerSecond);
    }

    /** The minimum time that a suspect has to refute the suspicion, in a fleet of that size. */
    public double minSuspicionMs(int presentCount) {
        return suspicionRounds * probeIntervalMs * Math.max(1, Math.log10(Math.max(1, presentCount)));
    }

    /**
     * The time after which all nodes consider a crashed node gone if there is no other fault: the rounds until one of
     * them has probed it, plus the longest suspicion, plus the dissemination of the update.
     */
    public double detectionBoundMs(int presentCount) {
        double spreadRounds = 2 * Math.log(Math.max(2, presentCount)) / Math.log(2);
        return MAX_ROUND_JITTER * probeIntervalMs * (DETECTION_ROUNDS + spreadRounds)
                + MAX_SUSPICION_FACTOR * minSuspicionMs(presentCount);
    }
}
