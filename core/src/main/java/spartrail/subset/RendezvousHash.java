package spartrail.subset;

/**
 * Weighted rendezvous hashing (highest random weight): every node orders all servers by a score that depends only on
 * the name of the node, the name of the server and the weight of the server. The score does not depend on the other
 * servers, so a server that joins or leaves does not change the order of the rest.
 *
 * <p>The score is {@code -ln(u) / weight}, where {@code u} is derived from the hash of both names and is uniform in (0,
 * 1); the lowest score is first. Scores are thus exponentially distributed with the weight as rate, so a server of
 * twice the weight is first twice as often.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final double UNIT = 0x1.0p-53;

    private final long nodeHash;

    /** Creates the order of the node with this name. */
    public RendezvousHash(String node) {
        nodeHash = mixed(hash(node));
    }

    /** The score of a server, of which the lowest is first; a weight of 0 or less counts as 1. */
    public double score(String server, double weight) {
        long mixed = mixed(nodeHash ^ hash(server));
        double uniform = ((mixed >>> 11) + 0.5) * UNIT;
        // StrictMath gives the same result, and so the same order, on every machine.
        return -StrictMath.log(uniform) / (weight > 0 ? weight : 1);
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Applies the finalizer of SplitMix64, so that names that differ in one character get unrelated values. */
    private static long mixed(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
