package spartrail.peers;

/**
 * Times and bounds of the messages among nodes.
 *
 * @param probeIntervalMs length of a round, in which one node is probed; a crash is known after some four to eight of these
 * @param ackTimeoutMs an answer is awaited for so long before relays are asked; below a round
 * @param suspicionRounds a suspicion lasts at least so many rounds times the decimal logarithm of the fleet (1 at least), and
 *     three times that while only one node accuses
 * @param pauseThresholdMs a node that runs so much later than it meant to has paused and doubts its view
 * @param maxMessageDelayMs messages that were under way for longer are dropped
 * @param departedRetentionMs a node that is gone or has left is remembered for so long, and looked for meanwhile
 * @param maxPeers further nodes are refused and counted
 * @param maxUpdateBytes bytes of updates that a message bears at most
 * @param maxAnswersPerSecond answers sent in a second at most, half of them to nodes that are not known
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
    /** For nodes in one data centre. */
    public static final GossipTimings DEFAULT = new GossipTimings(500, 200, 3, 250, 5000, 600_000, 1024, 1000, 200);

    /** Rounds in which by chance nobody probes a given node, in all but one of 20,000 cases, and those that follow. */
    private static final double DETECTION_ROUNDS = 12;

    private static final double MAX_ROUND_JITTER = 1.1;
    private static final double MAX_SUSPICION_FACTOR = 3;

    /** The same with all times but the retention multiplied. */
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

    /** The time that a suspect has at least to refute the suspicion, in a fleet of that size. */
    public double minSuspicionMs(int presentCount) {
        return suspicionRounds * probeIntervalMs * Math.max(1, Math.log10(Math.max(1, presentCount)));
    }

    /**
     * All others hold a crashed node for gone after so long, where nothing else is wrong: the rounds until one of them probes
     * it, the longest suspicion, and the spread of the update.
     */
    public double detectionBoundMs(int presentCount) {
        double spreadRounds = 2 * Math.log(Math.max(2, presentCount)) / Math.log(2);
        return MAX_ROUND_JITTER * probeIntervalMs * (DETECTION_ROUNDS + spreadRounds)
                + MAX_SUSPICION_FACTOR * minSuspicionMs(presentCount);
    }
}
