package spartrail.peers;

/**
 * A change of a node's view.
 *
 * @param previousState null if the peer was not known before
 * @param newState null if the peer has been forgotten
 * @param reporter name of the node that reported the change; this node's own name if it determined the change itself
 * @param reason why the state changed, as a text for operators
 * @param healthProblem why this node's view was unreliable at that time; empty if it was reliable
 */
public record PeerEvent(
        double atMs,
        PeerDescriptor descriptor,
        PeerState previousState,
        PeerState newState,
        String reporter,
        String reason,
        String healthProblem) {}
