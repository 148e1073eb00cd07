package spartrail.peers;

/**
 * Times and bounds of talk among nodes, in milliseconds. Defaults are for one data centre.
 *
 * @param roundMs one node is asked so often; a crash is known after some four to eight of these
 * @param answerMs an answer is waited for so long before helpers are asked; below a round
 * @param suspectRounds a suspicion lasts at least so many rounds times the decimal logarithm of the fleet (1 at least), and
 *     three times that while only one node accuses
 * @param stoodMs a node that comes back so much later than it meant to has stood still and doubts itself
 * @param staleMs words that were under way for longer are not taken
 * @param keptMs whoever is gone or has left is remembered for so long, and looked for meanwhile
 * @param mostPeers more are refused and counted
 * @param wordBytes a message carries at most about so many bytes of words
 * @param answersPerS at most so many answers a second, half of them to those who are not known
 */
public record GossipTimings(
        double roundMs,
        double answerMs,
        double suspectRounds,
        double stoodMs,
        double staleMs,
        double keptMs,
        int mostPeers,
        int wordBytes,
        int answersPerS) {
    public static final GossipTimings USUAL = new GossipTimings(500, 200, 3, 250, 5000, 600_000, 1024, 1000, 200);

    /** All times so many times as long. */
    public GossipTimings paced(double times) {
        return new GossipTimings(
                roundMs * times,
                answerMs * times,
                suspectRounds,
                stoodMs * times,
                staleMs * times,
                keptMs,
                mostPeers,
                wordBytes,
                answersPerS);
    }

    public double leastSuspicionMs(int there) {
        return suspectRounds * roundMs * Math.max(1, Math.log10(Math.max(1, there)));
    }

    /**
     * So long after a crash all others hold the node for gone, where nothing else is wrong: ten rounds in which by chance
     * nobody may have asked it (in one of 20,000 cases), the round that does, the longest suspicion, and the news.
     */
    public double knownWithinMs(int there) {
        return 1.1 * roundMs * (12 + 2 * Math.log(Math.max(2, there)) / Math.log(2)) + 3 * leastSuspicionMs(there);
    }
}
