package spartrail.peers;

/**
 * Identifies one run of a process under a node name; the later one outranks the earlier one. It need not be stored on
 * disk, since a restarted process has a later start time. A process whose machine's clock was set back learns of its
 * previous incarnation from other nodes and starts one that is later.
 *
 * @param startMs start time, in Unix milliseconds of the node's machine
 * @param nonce a random number that orders two incarnations with the same start time
 */
public record Incarnation(long startMs, int nonce) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        int order = Long.compare(startMs, other.startMs);
        return order != 0 ? order : Integer.compare(nonce, other.nonce);
    }
}
