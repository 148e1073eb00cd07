package spartrail.peers;

/**
 * Something changed in a node's view.
 *
 * @param previousState null: it was not known
 * @param newState null: it is forgotten
 * @param reporter who says so: this node itself, where it is its own verdict
 * @param healthProblem why this node doubted itself then; empty where it did not
 */
public record PeerEvent(
        double atMs,
        PeerDescriptor descriptor,
        PeerState previousState,
        PeerState newState,
        String reporter,
        String reason,
        String healthProblem) {}
