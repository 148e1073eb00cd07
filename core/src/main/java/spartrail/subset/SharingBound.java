package spartrail.subset;

/**
 * How many of so many nodes choose the same server, as an upper bound that is passed with a stated chance. Nodes choose
 * independently of each other, each with a chance of at most {@code inclusion}; by Chernoff's bound x of n do so with a chance of
 * at most {@code exp(-n KL(x/n, inclusion))}.
 */
public final class SharingBound {
    /** Of a thousand fleets of a thousand servers each, about one has a server that more nodes share. */
    public static final double CHANCE = 1e-6;

    private SharingBound() {}

    /** The least count that more nodes pass with less than {@link #CHANCE}; at most all nodes, at least one. */
    public static int of(int nodes, double inclusion) {
        if (inclusion >= 1 || nodes <= 1) {
            return Math.max(1, nodes);
        }
        int low = (int) Math.floor(nodes * inclusion);
        int high = nodes;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (passedChance(middle + 1, nodes, inclusion) < CHANCE) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return Math.max(1, low);
    }

    private static double passedChance(int count, int nodes, double inclusion) {
        double share = count / (double) nodes;
        if (share <= inclusion) {
            return 1;
        }
        if (share >= 1) {
            return Math.pow(inclusion, nodes);
        }
        double divergence = share * Math.log(share / inclusion) + (1 - share) * Math.log((1 - share) / (1 - inclusion));
        return Math.exp(-nodes * divergence);
    }
}
