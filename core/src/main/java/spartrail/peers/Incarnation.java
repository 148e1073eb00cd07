package spartrail.peers;

/**
 * One run of a process under a name: when it began, in Unix milliseconds of its machine, and a number drawn by chance. The
 * later one counts. It survives a restart without a disk, as a restarted process begins later; one whose machine's clock was
 * set back hears of its former life and begins one after it.
 */
public record Incarnation(long startMs, int nonce) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        int order = Long.compare(startMs, other.startMs);
        return order != 0 ? order : Integer.compare(nonce, other.nonce);
    }
}
