package spartrail.peers;

import java.util.List;

/**
 * What one node tells another.
 *
 * @param from who says it, as it knows itself
 * @param ageMs how old the sender's life is by its own clock; tells a message that was under way for long
 * @param to name of the node that is meant, empty where only its address is known
 * @param nonce drawn by who asks, told back by who answers: proof that the answer is a new one
 * @param digest of whom the sender holds for being there; two that are equal need not compare
 * @param about whom a helper is to ask, or was asked to; else null
 */
public record PeerMessage(
        Kind kind,
        PeerDescriptor from,
        PeerState standing,
        double ageMs,
        String to,
        long nonce,
        long digest,
        PeerDescriptor about,
        List<PeerUpdate> words) {
    /** What it is for. New ones go at the end: a node drops kinds that it does not know. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am. */
        ACK,
        /** Ask that one for me. */
        ASK,
        /** I have asked it, and it is there. */
        FOUND,
        /** I have asked it, and had no answer yet. */
        NOT_FOUND
    }
}
