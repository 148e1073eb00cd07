package spartrail.endpoint;

import java.util.Locale;

/**
 * Explains to operators the status of an endpoint: since when it applies, which rule decided it, what each source
 * reports.
 */
public final class EndpointExplanation {
    private static final double MS_PER_S = 1000;

    private EndpointExplanation() {}

    /** Explains the status of the record at the given time. */
    public static String of(EndpointRecord record, double atMs) {
        StringBuilder text = new StringBuilder(describeStatus(record, atMs));
        record.entries.forEach((source, entry) -> text.append(describeSource(source, entry, atMs)));
        return text.append(String.format(Locale.ROOT, "  start: %s%n", describeStart(record)))
                .toString();
    }

    private static String describeStatus(EndpointRecord record, double atMs) {
        boolean hasOtherUid = record.uid() != null && !record.uid().equals(record.id());
        return String.format(
                Locale.ROOT,
                "%s%s at %s, cell %d: %s%s since %.1f s%n  rule: %s%n",
                record.id(),
                hasOtherUid ? " (" + record.uid() + ")" : "",
                record.address(),
                record.cell,
                record.status(),
                record.isStandby() ? " (standby)" : "",
                (atMs - record.statusSinceMs()) / MS_PER_S,
                record.reason());
    }

    private static String describeSource(EndpointSource source, SourceEntry entry, double atMs) {
        return String.format(
                Locale.ROOT,
                "  %s (%s): %s%s%n",
                source,
                describeAvailability(source, atMs),
                entry.report().state(),
                describeAbsence(entry, atMs));
    }

    private static String describeAvailability(EndpointSource source, double atMs) {
        if (source.isAvailable()) {
            return "answers";
        }
        return String.format(Locale.ROOT, "unavailable for %.1f s", (atMs - source.unavailableSinceMs()) / MS_PER_S);
    }

    private static String describeAbsence(SourceEntry entry, double atMs) {
        if (!entry.isAbsent()) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                ", left unavailable for %.1f s by %d answers",
                (atMs - entry.absentSinceMs()) / MS_PER_S,
                entry.absentAnswers());
    }

    private static String describeStart(EndpointRecord record) {
        if (Double.isNaN(record.startedMs)) {
            return "not reported; counts as started when it was first seen";
        }
        return record.startedMs < 0 ? "long ago" : "reported";
    }
}
