package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import spartrail.model.Server;

/** A server in the view. */
public final class EndpointRecord {
    /** How a server stands in the view. */
    public enum Standing {
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

    String endpoint;
    final Map<EndpointSource, Word> words = new LinkedHashMap<>();
    Standing standing = Standing.UNKNOWN;
    String rule = "no source names it";
    double sinceMs;
    /** When it was first seen, or seen again after it was gone. */
    double seenMs;

    double joinAtMs;
    double flaps;
    double flapMs;
    /** The latest start that any source has told; NaN if none has. */
    double bornMs = Double.NaN;
    /** Counted among the live servers of its cell. */
    boolean counted;
    /** The cell it is counted in. */
    int cell;
    /** What was last handed on, and whether that is still so. */
    SourceReport handed;

    boolean changed;
    boolean standby;

    EndpointRecord(String id, String endpoint, double nowMs) {
        this.id = id;
        this.endpoint = endpoint;
        this.seenMs = nowMs;
        this.sinceMs = nowMs;
    }

    public Standing standing() {
        return standing;
    }

    /** The rule that decided its standing. */
    public String rule() {
        return rule;
    }

    public double sinceMs() {
        return sinceMs;
    }

    public String endpoint() {
        return endpoint;
    }

    /** A worse tier than its cell needs. */
    public boolean standby() {
        return standby;
    }

    /** What the module is to know of it. */
    public SourceReport line() {
        return handed;
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
            if (entry.getKey().kind == EndpointSource.Kind.ROLL) {
                return word.said;
            }
            if (best == null || !word.gone && !word.absent()) {
                best = word.said;
            }
        }
        return best;
    }

    boolean inUse() {
        return standing == Standing.LIVE || standing == Standing.SUSPECT;
    }

    static Server.State state(Standing standing) {
        return switch (standing) {
            case LIVE, SUSPECT -> Server.State.LIVE;
            case DRAINING -> Server.State.DRAINING;
            default -> Server.State.GONE;
        };
    }
}
