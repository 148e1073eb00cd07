package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.model.TimerQueue;

/**
 * What this node knows of another one. Each group of fields is written by one class: the first by {@link StateTransitions},
 * the next ones by {@link Suspicions}, {@link Dissemination} and {@link PeerTable}.
 */
final class Peer {
    PeerDescriptor descriptor;
    PeerState state;
    double stateSinceMs;
    /** Who told so: this node itself, or the name of another one. */
    String reporter;

    String reason = "";
    /** When it last answered this node itself, in this incarnation. */
    double lastAckMs = Double.NaN;
    /** Start of its incarnation by this node's clock, as far as that is known. */
    private double incarnationStartMs = Double.NaN;

    private double startEstimatedMs = Double.NaN;
    /** The end of the suspicion, or of the time for which a departed peer is remembered. */
    TimerQueue.Timer timer;

    /** Names of the nodes that suspect it, in the order in which they were heard. */
    final List<String> suspectingPeers = new ArrayList<>();

    double suspectedSinceMs;
    /** This node itself has probed it since its state changed. */
    boolean probedSinceChange;

    /** How often others were told of the latest change, and whether more are to be told. */
    int transmissions;

    boolean queuedForDissemination;

    boolean countedAsPresent;
    /** Its place among the alive peers, or -1. */
    int aliveIndex = -1;
    /** Its part of the digest. */
    long digest;

    Peer(PeerDescriptor descriptor) {
        this.descriptor = descriptor;
    }

    boolean hasIncarnation(Incarnation incarnation) {
        return descriptor.incarnation().equals(incarnation);
    }

    /** What was known of its former incarnation holds no longer. */
    void resetIncarnation() {
        lastAckMs = Double.NaN;
        incarnationStartMs = Double.NaN;
        startEstimatedMs = Double.NaN;
    }

    /** It answered: its incarnation was so old when it did. */
    void onAck(double incarnationAgeMs, double nowMs) {
        lastAckMs = nowMs;
        incarnationStartMs = nowMs - incarnationAgeMs;
        startEstimatedMs = nowMs;
    }

    /** Others know how old its incarnation is; a message that was delayed makes it look younger, never older. */
    void learnAge(double ageMs, double nowMs) {
        double startMs = nowMs - ageMs;
        if (ageMs > 0 && (Double.isNaN(incarnationStartMs) || startMs < incarnationStartMs)) {
            incarnationStartMs = startMs;
            startEstimatedMs = nowMs;
        }
    }

    /** The age of its incarnation as far as this node knows, else 0. */
    double incarnationAgeMs(double nowMs) {
        return Double.isNaN(incarnationStartMs) ? 0 : Math.max(0, nowMs - incarnationStartMs);
    }

    /** How long a message that was sent at that age of the incarnation has been under way. */
    double messageDelayMs(double ageMs, double nowMs) {
        return Double.isNaN(incarnationStartMs) ? Double.POSITIVE_INFINITY : nowMs - incarnationStartMs - ageMs;
    }

    /** How long ago the start of its incarnation was estimated; its clock may have drifted since. */
    double sinceStartEstimateMs(double nowMs) {
        return nowMs - startEstimatedMs;
    }

    /** The most bytes that an update on it takes in a message. */
    int maxEncodedBytes() {
        int suspectingPeerBytes =
                suspectingPeers.isEmpty() ? 0 : suspectingPeers.get(0).length();
        return descriptor.maxEncodedBytes() + suspectingPeerBytes;
    }
}
