package spartrail.peers;

/**
 * Times and bounds of talk among nodes, in milliseconds. Defaults are for one data centre.
 *
 * @param probeIntervalMs one node is asked so often; a crash is known after some four to eight of these
 * @param ackTimeoutMs an answer is waited for so long before helpers are asked; below a round
 * @param suspicionRounds a suspicion lasts at least so many rounds times the decimal logarithm of the fleet (1 at least), and
 *     three times that while only one node accuses
 * @param pauseThresholdMs a node that comes back so much later than it meant to has stood still and doubts itself
 * @param maxMessageDelayMs words that were under way for longer are not taken
 * @param departedRetentionMs whoever is gone or has left is remembered for so long, and looked for meanwhile
 * @param maxPeers more are refused and counted
 * @param maxUpdateBytes a message carries at most about so many bytes of words
 * @param maxAnswersPerSecond at most so many answers a second, half of them to those who are not known
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
    public static final GossipTimings DEFAULT = new GossipTimings(500, 200, 3, 250, 5000, 600_000, 1024, 1000, 200);

    /** All times so many times as long. */
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

    public double minSuspicionMs(int presentCount) {
        return suspicionRounds * probeIntervalMs * Math.max(1, Math.log10(Math.max(1, presentCount)));
    }

    /**
     * So long after a crash all others hold the node for gone, where nothing else is wrong: ten rounds in which by chance
     * nobody may have asked it (in one of 20,000 cases), the round that does, the longest suspicion, and the news.
     */
    public double detectionBoundMs(int presentCount) {
        return 1.1 * probeIntervalMs * (12 + 2 * Math.log(Math.max(2, presentCount)) / Math.log(2))
                + 3 * minSuspicionMs(presentCount);
    }
}
