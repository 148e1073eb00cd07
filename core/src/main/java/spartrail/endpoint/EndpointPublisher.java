package spartrail.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import spartrail.model.Server;

/**
 * Derives the report that the coordinator receives for each endpoint, and collects the reports that have changed. An
 * endpoint whose tier is worse than the best tier in use in its cell is on standby: it is published as draining until
 * the cell has no endpoint in use of a better tier.
 */
final class EndpointPublisher {
    private final Map<Integer, Set<EndpointRecord>> byCell = new HashMap<>();
    private final Set<EndpointRecord> changed = new LinkedHashSet<>();

    /** Assigns the record to this cell. */
    void moveToCell(EndpointRecord record, int cell) {
        if (cell != record.cell) {
            recordsInCell(record.cell).remove(record);
            record.cell = cell;
        }
        recordsInCell(cell).add(record);
    }

    void remove(EndpointRecord record) {
        recordsInCell(record.cell).remove(record);
    }

    private Set<EndpointRecord> recordsInCell(int cell) {
        return byCell.computeIfAbsent(cell, key -> new LinkedHashSet<>());
    }

    /** Publishes again all endpoints of a cell. Cost: proportional to the endpoints of the cell. */
    void publishCell(int cell) {
        Set<EndpointRecord> records = recordsInCell(cell);
        int bestTier = findBestTierInUse(records);
        records.forEach(record -> publish(record, bestTier));
    }

    private static int findBestTierInUse(Set<EndpointRecord> records) {
        return records.stream()
                .filter(EndpointRecord::isInUse)
                .map(EndpointRecord::bestReport)
                .filter(Objects::nonNull)
                .mapToInt(SourceReport::tier)
                .min()
                .orElse(0);
    }

    private void publish(EndpointRecord record, int bestTier) {
        SourceReport best = record.bestReport();
        SourceReport source = best == null ? record.published : best;
        if (source == null) {
            return;
        }
        record.isStandby = record.isInUse() && source.tier() > bestTier;
        Server.State state =
                record.isStandby ? Server.State.DRAINING : record.status().toServerState();
        // Without a reported start time the endpoint counts as started when it was first seen, so it gets a slow start.
        double startedMs = Double.isNaN(record.startedMs) ? record.seenMs : record.startedMs;
        SourceReport report = source.toPublished(record.id(), record.address(), state, startedMs);
        boolean wasNeverInUse = record.published == null && state == Server.State.GONE;
        if (!wasNeverInUse && !report.equals(record.published)) {
            record.published = report;
            changed.add(record);
        }
    }

    /** The reports that have changed since the last call. */
    List<SourceReport> takeChanges() {
        List<SourceReport> reports = new ArrayList<>();
        changed.forEach(record -> reports.add(record.published));
        changed.clear();
        return reports;
    }
}
