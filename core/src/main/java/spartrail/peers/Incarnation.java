package spartrail.peers;

/**
 * One run of a process under a name: the later one outranks the earlier one. It needs no disk, as a restarted process begins
 * later; one whose machine's clock was set back hears of its former incarnation and begins one after it.
 *
 * @param startMs when it began, in Unix milliseconds of its machine
 * @param nonce a random number, for two that began at the same time
 */
public record Incarnation(long startMs, int nonce) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        int order = Long.compare(startMs, other.startMs);
        return order != 0 ? order : Integer.compare(nonce, other.nonce);
    }
}
