package spartrail.peers;

/**
 * Something changed in a node's view.
 *
 * @param was null: it was not known
 * @param is null: it is forgotten
 * @param by who says so: this node itself, where it is its own verdict
 * @param doubt why this node doubted itself then; empty where it did not
 */
public record PeerEvent(
        double atMs, PeerDescriptor card, PeerState was, PeerState is, String by, String why, String doubt) {}
