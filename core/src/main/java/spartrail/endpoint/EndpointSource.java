package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

/** Where reports on endpoints come from: discovery is one source, so is each DNS name, and each file. */
public final class EndpointSource {
    /** What a source may decide: discovery removes and drains endpoints of all sources; others add, and withdraw their own. */
    public enum Kind {
        DISCOVERY,
        DNS,
        FILE
    }

    private final String name;
    private final Kind kind;
    private final Map<EndpointRecord, SourceEntry> entries = new LinkedHashMap<>();
    private boolean isAvailable;
    private double unavailableSinceMs;
    private double firstAnswerMs = Double.NaN;
    private double reportLifetimeMs;

    /** A new source counts as unavailable until it reports. */
    EndpointSource(String name, Kind kind, double nowMs) {
        this.name = name;
        this.kind = kind;
        this.unavailableSinceMs = nowMs;
    }

    /** The name, unique in a registry. */
    public String name() {
        return name;
    }

    /** What the source may decide. */
    public Kind kind() {
        return kind;
    }

    /** Whether the source answers now. */
    public boolean isAvailable() {
        return isAvailable;
    }

    boolean isDiscovery() {
        return kind == Kind.DISCOVERY;
    }

    /** Since when it does not answer; for a source that was only restored, since the snapshot. */
    double unavailableSinceMs() {
        return unavailableSinceMs;
    }

    /** When it first answered; NaN before that. */
    double firstAnswerMs() {
        return firstAnswerMs;
    }

    /** How long what it reports is valid. */
    double reportLifetimeMs() {
        return reportLifetimeMs;
    }

    /** The endpoints that it has reported on. */
    Map<EndpointRecord, SourceEntry> entries() {
        return entries;
    }

    void markAnswered(double lifetimeMs, double nowMs) {
        isAvailable = true;
        reportLifetimeMs = lifetimeMs;
        if (Double.isNaN(firstAnswerMs)) {
            firstAnswerMs = nowMs;
        }
    }

    void markUnavailable(double nowMs) {
        isAvailable = false;
        unavailableSinceMs = nowMs;
    }

    /** The source has been silent at least since a snapshot was saved. */
    void restoreUnavailability(double savedMs) {
        unavailableSinceMs = Math.min(unavailableSinceMs, savedMs);
    }

    @Override
    public String toString() {
        return name;
    }
}
