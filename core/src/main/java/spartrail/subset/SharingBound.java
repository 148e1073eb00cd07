package spartrail.subset;

/**
 * An upper bound of the number of nodes that select the same server, with a stated probability of being exceeded. The
 * nodes select independently of each other, each with a probability of at most p. By Chernoff's bound, the probability
 * that x or more of n nodes select the server is at most {@code exp(-n KL(x/n, p))}.
 */
public final class SharingBound {
    /**
     * With this value, about one in a thousand fleets of a thousand servers has a server that more nodes share than the
     * bound.
     */
    public static final double EXCEEDANCE_PROBABILITY = 1e-6;

    private SharingBound() {}

    /**
     * The smallest number of nodes that is exceeded with a probability of less than {@link #EXCEEDANCE_PROBABILITY};
     * between 1 and the number of all nodes.
     */
    public static int nodesPerServer(int nodes, double inclusionProbability) {
        if (inclusionProbability >= 1 || nodes <= 1) {
            return Math.max(1, nodes);
        }
        int low = (int) Math.floor(nodes * inclusionProbability);
        int high = nodes;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (exceedanceProbability(middle + 1, nodes, inclusionProbability) < EXCEEDANCE_PROBABILITY) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return Math.max(1, low);
    }

    private static double exceedanceProbability(int count, int nodes, double inclusionProbability) {
        double share = count / (double) nodes;
        if (share <= inclusionProbability) {
            return 1;
        }
        if (share >= 1) {
            return Math.pow(inclusionProbability, nodes);
        }
        double divergence = share * Math.log(share / inclusionProbability)
                + (1 - share) * Math.log((1 - share) / (1 - inclusionProbability));
        return Math.exp(-nodes * divergence);
    }
}
