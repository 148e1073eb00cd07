package spartrail.subset;

/**
 * How many of so many nodes choose the same server, as an upper bound that is exceeded with a stated probability. Nodes choose
 * independently of each other, each with a probability of at most p; by Chernoff's bound x of n do so with a probability of at most
 * {@code exp(-n KL(x/n, p))}.
 */
public final class SharingBound {
    /** Of a thousand fleets of a thousand servers each, about one has a server that more nodes share. */
    public static final double EXCEEDANCE_PROBABILITY = 1e-6;

    private SharingBound() {}

    /**
     * The least count that is exceeded with a probability of less than {@link #EXCEEDANCE_PROBABILITY}; at most all nodes, at least
     * one.
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
