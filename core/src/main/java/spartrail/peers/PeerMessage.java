package spartrail.peers;

import java.util.List;

/**
 * What one node sends another.
 *
 * @param sender the sender as it describes itself
 * @param incarnationAgeMs age of the sender's incarnation by its own clock; shows a message that was under way for long
 * @param recipient name of the node that is meant, empty where only its address is known
 * @param nonce drawn by the node that asks, returned by the one that answers: proof that the answer is new
 * @param digest of the nodes that the sender holds for present; two that are equal need no comparison
 * @param target whom a relay is asked to probe, or has probed; else null
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
    /**
     * What a message is for. Datagrams hold the numbers of the constants, so new ones go to the end: a node drops kinds that
     * it doesn't know.
     */
    public enum Kind {
        /** A probe. */
        PING,
        /** The answer to a probe. */
        ACK,
        /** Asks a relay to probe the target. */
        PING_REQUEST,
        /** The relay's probe was answered. */
        INDIRECT_ACK,
        /** The relay's probe was not answered in time. */
        INDIRECT_NACK
    }
}
