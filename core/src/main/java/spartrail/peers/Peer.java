package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.model.TimerQueue;

/**
 * What this node knows about another node. Each group of fields is written by one class: the first by {@link
 * StateTransitions}, the following ones by {@link Suspicions}, {@link Dissemination} and {@link PeerTable}.
 */
final class Peer {
    PeerDescriptor descriptor;
    PeerState state;
    double stateSinceMs;
    /** Name of the node that reported the state; this node's own name if it determined the state itself. */
    String reporter;

    String reason = "";
    /** When this peer, in this incarnation, last answered a probe of this node; NaN if it never has. */
    double lastAckMs = Double.NaN;
    /** Estimated start of its incarnation by this node's clock; NaN if unknown. */
    private double incarnationStartMs = Double.NaN;

    /** When {@link #incarnationStartMs} was estimated; NaN if it is unknown. */
    private double startEstimatedMs = Double.NaN;
    /** Ends the suspicion of a suspect, or the retention of a departed peer. */
    TimerQueue.Timer timer;

    /** Names of the nodes that suspect this peer, in the order in which this node learned of them. */
    final List<String> suspectingPeers = new ArrayList<>();

    double suspectedSinceMs;
    /** Whether this node itself has probed it since its state changed. */
    boolean probedSinceChange;

    /** How often the latest change has been transmitted to other nodes. */
    int transmissions;

    /** Whether the latest change is still to be transmitted to other nodes. */
    boolean queuedForDissemination;

    boolean countedAsPresent;
    /** Index in the list of alive peers, or -1 if it is not alive. */
    int aliveIndex = -1;
    /** Its contribution to the digest of this node's view. */
    long digest;

    Peer(PeerDescriptor descriptor) {
        this.descriptor = descriptor;
    }

    boolean hasIncarnation(Incarnation incarnation) {
        return descriptor.incarnation().equals(incarnation);
    }

    /** Clears what was known about its previous incarnation only. */
    void resetIncarnation() {
        lastAckMs = Double.NaN;
        incarnationStartMs = Double.NaN;
        startEstimatedMs = Double.NaN;
    }

    /** Handles the peer's answer to a probe, which states the age of its incarnation when it answered. */
    void onAck(double incarnationAgeMs, double nowMs) {
        lastAckMs = nowMs;
        incarnationStartMs = nowMs - incarnationAgeMs;
        startEstimatedMs = nowMs;
    }

    /**
     * Refines the estimated start by an age that another node reports. A delayed message makes the incarnation look
     * younger, never older, so the earliest start is kept.
     */
    void learnAge(double ageMs, double nowMs) {
        double startMs = nowMs - ageMs;
        if (ageMs > 0 && (Double.isNaN(incarnationStartMs) || startMs < incarnationStartMs)) {
            incarnationStartMs = startMs;
            startEstimatedMs = nowMs;
        }
    }

    /** The estimated age of its incarnation; 0 if unknown. */
    double incarnationAgeMs(double nowMs) {
        return Double.isNaN(incarnationStartMs) ? 0 : Math.max(0, nowMs - incarnationStartMs);
    }

    /** Transit time of a message that was sent at that age of the incarnation; infinite if its start is unknown. */
    double messageDelayMs(double ageMs, double nowMs) {
        return Double.isNaN(incarnationStartMs) ? Double.POSITIVE_INFINITY : nowMs - incarnationStartMs - ageMs;
    }

    /** Time since the start of its incarnation was estimated, in which the peer's clock may have drifted. */
    double sinceStartEstimateMs(double nowMs) {
        return nowMs - startEstimatedMs;
    }

    /** Maximum encoded size of an update about this peer. */
    int maxEncodedBytes() {
        int suspectingPeerBytes =
                suspectingPeers.isEmpty() ? 0 : suspectingPeers.get(0).length();
        return descriptor.maxEncodedBytes() + suspectingPeerBytes;
    }
}
