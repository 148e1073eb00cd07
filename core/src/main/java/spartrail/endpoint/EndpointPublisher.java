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
 * What the coordinator is to know of each endpoint, and what of it has changed. Endpoints of a tier worse than the best one in use
 * of their cell stand by: they are published as draining until the cell has nobody better.
 */
final class EndpointPublisher {
    private final Map<Integer, Set<EndpointRecord>> byCell = new HashMap<>();
    private final Set<EndpointRecord> changed = new LinkedHashSet<>();

    /** The record belongs to this cell from now on. */
    void move(EndpointRecord record, int cell) {
        if (cell != record.cell) {
            membersOf(record.cell).remove(record);
            record.cell = cell;
        }
        membersOf(cell).add(record);
    }

    void remove(EndpointRecord record) {
        membersOf(record.cell).remove(record);
    }

    private Set<EndpointRecord> membersOf(int cell) {
        return byCell.computeIfAbsent(cell, key -> new LinkedHashSet<>());
    }

    /** Publishes the endpoints of a cell anew. Cost: by the endpoints of the cell. */
    void publishCell(int cell) {
        Set<EndpointRecord> members = membersOf(cell);
        int bestTier = bestTierInUse(members);
        members.forEach(record -> publish(record, bestTier));
    }

    private static int bestTierInUse(Set<EndpointRecord> members) {
        return members.stream()
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
        // Without a reported start the endpoint counts as started when it was first seen, so it is warmed up.
        double startedMs = Double.isNaN(record.startedMs) ? record.seenMs : record.startedMs;
        SourceReport report = source.published(record.id(), record.address(), state, startedMs);
        boolean wasNeverInUse = record.published == null && state == Server.State.GONE;
        if (!wasNeverInUse && !report.equals(record.published)) {
            record.published = report;
            changed.add(record);
        }
    }

    /** The reports that have changed since this was last asked. */
    List<SourceReport> takeChanges() {
        List<SourceReport> reports = new ArrayList<>();
        changed.forEach(record -> reports.add(record.published));
        changed.clear();
        return reports;
    }
}
