package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

/** A source of reports on endpoints: discovery is one source, and so is each DNS name and each file. */
public final class EndpointSource {
    /**
     * The kind of a source, which determines its authority: discovery removes and drains the endpoints of all sources;
     * other sources add endpoints and withdraw those that they have added.
     */
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

    /** Creates a source, which counts as unavailable until it reports. */
    EndpointSource(String name, Kind kind, double nowMs) {
        this.name = name;
        this.kind = kind;
        this.unavailableSinceMs = nowMs;
    }

    /** The name, which is unique in a registry. */
    public String name() {
        return name;
    }

    /** The kind, which determines what the source may decide. */
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

    /** When the source became unavailable; for a source restored from a snapshot, when the snapshot was saved. */
    double unavailableSinceMs() {
        return unavailableSinceMs;
    }

    /** When the source first answered; NaN before that. */
    double firstAnswerMs() {
        return firstAnswerMs;
    }

    /** How long a report of this source is valid. */
    double reportLifetimeMs() {
        return reportLifetimeMs;
    }

    /** The entries of the endpoints on which the source has reported. */
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

    /** Records that the source has not answered since a snapshot was saved, or for longer. */
    void restoreUnavailability(double savedMs) {
        unavailableSinceMs = Math.min(unavailableSinceMs, savedMs);
    }

    @Override
    public String toString() {
        return name;
    }
}
