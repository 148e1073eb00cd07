package spartrail.peers;

import java.util.List;

/**
 * What one node tells another.
 *
 * @param sender who says it, as it knows itself
 * @param incarnationAgeMs how old the sender's life is by its own clock; tells a message that was under way for long
 * @param recipient name of the node that is meant, empty where only its address is known
 * @param nonce drawn by who asks, told back by who answers: proof that the answer is a new one
 * @param digest of whom the sender holds for being there; two that are equal need not compare
 * @param target whom a helper is to ask, or was asked to; else null
 */
public record PeerMessage(
        Kind kind,
        PeerDescriptor sender,
        PeerState state,
        double incarnationAgeMs,
        String recipient,
        long nonce,
        long digest,
        PeerDescriptor target,
        List<PeerUpdate> updates) {
    /** What it is for. New ones go at the end: a node drops kinds that it does not know. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am. */
        ACK,
        /** Ask that one for me. */
        PING_REQUEST,
        /** I have asked it, and it is there. */
        INDIRECT_ACK,
        /** I have asked it, and had no answer yet. */
        INDIRECT_NACK
    }
}
