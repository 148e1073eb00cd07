package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import spartrail.model.Server;

/** A server in the view. */
public final class EndpointRecord {
    /** How a server stands in the view. */
    public enum Status {
        /** No source has a word on it. */
        UNKNOWN,
        /** Named again after it was gone, and not in use yet, as it has come and gone before. */
        JOINING,
        LIVE,
        /** In use, but those that named it have been out for longer than their words are good for. */
        SUSPECT,
        DRAINING,
        GONE
    }

    /** One source's word on it. */
    static final class Word {
        SourceReport said;
        double sinceMs;
        /** The source's whole answers have left it out since then; NaN while they name it. */
        double absentSinceMs = Double.NaN;

        int absentAnswers;
        /** The absence counts. */
        boolean gone;

        boolean absent() {
            return !Double.isNaN(absentSinceMs);
        }
    }

    /** What the module knows it by: the name under which it was first seen. */
    public final String id;
    /** The roll's uid, or null. */
    String uid;

    String address;
    final Map<EndpointSource, Word> words = new LinkedHashMap<>();
    Status status = Status.UNKNOWN;
    String reason = "no source names it";
    double sinceMs;
    /** When it was first seen, or seen again after it was gone. */
    double seenMs;

    double joinAtMs;
    double flaps;
    double flapMs;
    /** The latest start that any source has told; NaN if none has. */
    double startedMs = Double.NaN;
    /** Counted among the live servers of its cell. */
    boolean counted;
    /** The cell it is counted in. */
    int cell;
    /** What was last published on, and whether that is still so. */
    SourceReport published;

    boolean changed;
    boolean standby;

    EndpointRecord(String id, String address, double nowMs) {
        this.id = id;
        this.address = address;
        this.seenMs = nowMs;
        this.sinceMs = nowMs;
    }

    public Status status() {
        return status;
    }

    /** The rule that decided its status. */
    public String reason() {
        return reason;
    }

    public double statusSinceMs() {
        return sinceMs;
    }

    public String address() {
        return address;
    }

    /** A worse tier than its cell needs. */
    public boolean isStandby() {
        return standby;
    }

    /** What the module is to know of it. */
    public SourceReport published() {
        return published;
    }

    Word word(EndpointSource.Kind kind) {
        for (Map.Entry<EndpointSource, Word> entry : words.entrySet()) {
            if (entry.getKey().kind == kind) {
                return entry.getValue();
            }
        }
        return null;
    }

    /** The word that tells most: the roll's, else one that names it. */
    SourceReport best() {
        SourceReport best = null;
        for (Map.Entry<EndpointSource, Word> entry : words.entrySet()) {
            Word word = entry.getValue();
            if (entry.getKey().kind == EndpointSource.Kind.DISCOVERY) {
                return word.said;
            }
            if (best == null || !word.gone && !word.absent()) {
                best = word.said;
            }
        }
        return best;
    }

    boolean inUse() {
        return status == Status.LIVE || status == Status.SUSPECT;
    }

    static Server.State state(Status status) {
        return switch (status) {
            case LIVE, SUSPECT -> Server.State.LIVE;
            case DRAINING -> Server.State.DRAINING;
            default -> Server.State.GONE;
        };
    }
}
