package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

/** Where words on servers come from. A DNS name is one source, the roll is one, a file is one. */
public final class EndpointSource {
    /** The roll's word is law on what drains and ends; the others can only add, and leave out. */
    public enum Kind {
        ROLL,
        DNS,
        FILE
    }

    public final String name;
    public final Kind kind;
    /** It has answered since the start, and answers now. */
    boolean in;
    /** Since when it does not answer; for one that was only restored, since the snapshot. */
    double outSinceMs;
    /** When it first answered, and how many whole answers there were. */
    double firstAnswerMs = Double.NaN;

    long answers;
    /** How long what it says is good for. */
    double lifetimeMs;
    /** Members it has a word on. */
    final Map<EndpointRecord, EndpointRecord.Word> words = new LinkedHashMap<>();

    EndpointSource(String name, Kind kind, double nowMs) {
        this.name = name;
        this.kind = kind;
        this.outSinceMs = nowMs;
    }

    /** Whether it answers. */
    public boolean in() {
        return in;
    }

    @Override
    public String toString() {
        return name;
    }
}
