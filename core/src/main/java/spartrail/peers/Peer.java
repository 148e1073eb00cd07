package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.model.TimerQueue;

/** What a node holds of another one. */
final class Peer {
    PeerDescriptor descriptor;
    PeerState state;
    double stateSinceMs;
    String reporter;
    String reason = "";
    /** When it last answered this node itself, in this life. */
    double lastAckMs = Double.NaN;
    /** When others last held it for there, by what they said. */
    double toldMs = Double.NaN;
    /** When its life began by this node's clock, as far as that is known. */
    double incarnationStartMs = Double.NaN;

    double startEstimatedMs = Double.NaN;
    /** Those who accuse it, and since when; at the due time it is gone. */
    final List<String> accusers = new ArrayList<>();

    double suspectedSinceMs;
    /** This node itself has asked it since it stands so. */
    boolean probedSinceChange;

    TimerQueue.Due timer;
    /** How often it has been passed on since it changed, and whether it is to be passed on further. */
    int transmissions;

    boolean queued;
    /** It counts among those that are there; its place among those that are alive, or -1. */
    boolean present;

    int aliveIndex = -1;
    /** Its part of the digest. */
    long digestHash;

    Peer(PeerDescriptor descriptor, PeerState state) {
        this.descriptor = descriptor;
        this.state = state;
    }

    /** How much older than expected a message of its life is. */
    double delayMs(double ageMs, double nowMs) {
        return Double.isNaN(incarnationStartMs) ? Double.POSITIVE_INFINITY : nowMs - incarnationStartMs - ageMs;
    }

    /** Its life is so old now, as far as this node knows. */
    double incarnationAgeMs(double nowMs) {
        return Double.isNaN(incarnationStartMs) ? 0 : Math.max(0, nowMs - incarnationStartMs);
    }

    /** Others know how old it was; what was under way for longer makes it look younger, never older. */
    void learnAge(double ageMs, double nowMs) {
        double born = nowMs - ageMs;
        if (ageMs > 0 && (Double.isNaN(incarnationStartMs) || born < incarnationStartMs)) {
            incarnationStartMs = born;
            startEstimatedMs = nowMs;
        }
    }
}
