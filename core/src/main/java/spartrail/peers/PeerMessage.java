package spartrail.peers;

import java.util.List;

/**
 * A message from one node to another.
 *
 * @param sender the sender as it describes itself
 * @param incarnationAgeMs age of the sender's incarnation by its own clock; reveals a delayed message
 * @param recipient name of the intended recipient, empty if only its address is known
 * @param nonce a random number chosen for a probe and returned in its answer, which proves that the answer is fresh
 * @param digest digest of the nodes that the sender considers present; nodes with equal digests have the same view
 * @param target the peer that a relay is asked to probe or has probed, else null
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
     * The kind of a message. Datagrams contain the ordinals of the constants, so new constants are added at the end;
     * a node drops messages of unknown kinds.
     */
    public enum Kind {
        /** A probe. */
        PING,
        /** An acknowledgement, the answer to a probe. */
        ACK,
        /** A request to a relay to probe the target. */
        PING_REQUEST,
        /** The relay's probe was answered. */
        INDIRECT_ACK,
        /** The relay's probe was not answered in time. */
        INDIRECT_NACK
    }
}
