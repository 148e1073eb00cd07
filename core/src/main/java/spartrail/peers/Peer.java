package spartrail.peers;

import java.util.ArrayList;
import java.util.List;
import spartrail.model.TimerQueue;

/** What a node holds of another one. */
final class Peer {
    PeerDescriptor card;
    PeerState standing;
    double sinceMs;
    String from;
    String why = "";
    /** When it last answered this node itself, in this life. */
    double heardMs = Double.NaN;
    /** When others last held it for there, by what they said. */
    double toldMs = Double.NaN;
    /** When its life began by this node's clock, as far as that is known. */
    double bornMs = Double.NaN;

    double bornKnownMs = Double.NaN;
    /** Those who accuse it, and since when; at the due time it is gone. */
    final List<String> accusers = new ArrayList<>();

    double accusedMs;
    /** This node itself has asked it since it stands so. */
    boolean askedAgain;

    TimerQueue.Timer due;
    /** How often it has been passed on since it changed, and whether it is to be passed on further. */
    int passedOn;

    boolean standingIsNews;
    /** It counts among those that are there; its place among those that are alive, or -1. */
    boolean isThere;

    int aliveAt = -1;
    /** Its part of the digest. */
    long hash;

    Peer(PeerDescriptor card, PeerState standing) {
        this.card = card;
        this.standing = standing;
    }

    /** How much older than expected a message of its life is. */
    double staleMs(double ageMs, double nowMs) {
        return Double.isNaN(bornMs) ? Double.POSITIVE_INFINITY : nowMs - bornMs - ageMs;
    }

    /** Its life is so old now, as far as this node knows. */
    double ageMs(double nowMs) {
        return Double.isNaN(bornMs) ? 0 : Math.max(0, nowMs - bornMs);
    }

    /** Others know how old it was; what was under way for longer makes it look younger, never older. */
    void aged(double ageMs, double nowMs) {
        double born = nowMs - ageMs;
        if (ageMs > 0 && (Double.isNaN(bornMs) || born < bornMs)) {
            bornMs = born;
            bornKnownMs = nowMs;
        }
    }
}
