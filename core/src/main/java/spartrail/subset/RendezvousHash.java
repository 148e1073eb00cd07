package spartrail.subset;

/**
 * Weighted rendezvous hashing (highest random weight): every node orders all servers by a score that only the two names and the
 * server's weight decide. A server's score does not depend on which others there are, so one that joins or leaves moves nothing
 * else in the order.
 *
 * <p>The score is {@code -ln(u) / weight} with {@code u} uniform in (0, 1) by the hash of both names, lowest first: the order in
 * which exponential clocks of these rates ring, so a server of twice the weight is first twice as often.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final double UNIT = 0x1.0p-53;

    private final long nodeHash;

    /** The order of the node with this name. */
    public RendezvousHash(String node) {
        nodeHash = mixed(hash(node));
    }

    /** Lowest goes first; a weight that is not above 0 counts as 1. */
    public double score(String server, double weight) {
        long mixed = mixed(nodeHash ^ hash(server));
        double uniform = ((mixed >>> 11) + 0.5) * UNIT;
        // StrictMath: the same order on every machine.
        return -StrictMath.log(uniform) / (weight > 0 ? weight : 1);
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** The finalizer of SplitMix64: names that differ in one character end far apart. */
    private static long mixed(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
