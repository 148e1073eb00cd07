package spartrail.peers;

/**
 * A change of a node's view.
 *
 * @param previousState null where the node was not known
 * @param newState null where the node is forgotten
 * @param reporter who says so: this node itself, where it is its own verdict
 * @param reason why, in words for operators
 * @param healthProblem why this node trusted its own view less then; empty where it didn't
 */
public record PeerEvent(
        double atMs,
        PeerDescriptor descriptor,
        PeerState previousState,
        PeerState newState,
        String reporter,
        String reason,
        String healthProblem) {}
