package spartrail.endpoint;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Finds or creates the record that a report belongs to.
 *
 * <ol>
 * <li>An endpoint is identified by discovery's uid or, if it has none, by its address.
 * <li>A report with a new uid takes over the record at its address if that record has no uid yet.
 * <li>A report with a new uid at the address of a record with another uid is about another endpoint; the entries of
 * sources without uids move to the record that now has the address.
 * <li>Reports with an address that is not allowed, and reports on new endpoints above the limit, are refused and
 * counted.
 * </ol>
 */
final class EndpointTable {
    private final MergeLimits limits;
    private final Predicate<String> isAllowed;
    private final CellOccupancy cells;
    private final Consumer<EndpointRecord> onDisplaced;
    private final Map<String, EndpointRecord> byId = new LinkedHashMap<>();
    private final Map<String, EndpointRecord> byUid = new HashMap<>();
    private final Map<String, EndpointRecord> byAddress = new HashMap<>();
    private long refused;
    private long notAllowed;

    /**
     * Creates an empty table; {@code onDisplaced} is called with each record whose address another record has taken
     * over.
     */
    EndpointTable(
            MergeLimits limits,
            Predicate<String> isAllowed,
            CellOccupancy cells,
            Consumer<EndpointRecord> onDisplaced) {
        this.limits = limits;
        this.isAllowed = isAllowed;
        this.cells = cells;
        this.onDisplaced = onDisplaced;
    }

    Collection<EndpointRecord> all() {
        return byId.values();
    }

    EndpointRecord findById(String id) {
        return byId.get(id);
    }

    /** Finds a record by id, uid or address; null if there is none. */
    EndpointRecord find(String name) {
        EndpointRecord record = byId.get(name);
        if (record == null) {
            record = byUid.get(name);
        }
        return record == null ? byAddress.get(name) : record;
    }

    long refusedCount() {
        return refused;
    }

    long notAllowedCount() {
        return notAllowed;
    }

    /** Returns the record that the report is about, creating it if needed; null if the report is refused. */
    EndpointRecord resolve(SourceReport report, double nowMs) {
        if (report.address() != null && !isAllowed.test(report.address())) {
            notAllowed++;
            return null;
        }
        EndpointRecord known = findOrTakeOver(report);
        if (known == null) {
            return create(report, nowMs);
        }
        if (report.address() != null && !report.address().equals(known.address())) {
            byAddress.remove(known.address(), known);
            assignAddress(known, report.address());
        }
        return known;
    }

    private EndpointRecord findOrTakeOver(SourceReport report) {
        if (report.id() == null) {
            return byAddress.get(report.address());
        }
        EndpointRecord known = byUid.get(report.id());
        if (known != null || report.address() == null) {
            return known;
        }
        EndpointRecord atAddress = byAddress.get(report.address());
        if (atAddress == null || atAddress.uid() != null) {
            return null;
        }
        atAddress.setUid(report.id());
        byUid.put(report.id(), atAddress);
        return atAddress;
    }

    private EndpointRecord create(SourceReport report, double nowMs) {
        boolean isFull = byId.size() >= limits.maxEndpoints();
        if (report.address() == null || !cells.contains(report.cell()) || isFull) {
            refused++;
            return null;
        }
        String id = report.id() != null ? report.id() : report.address();
        // A uid may be spelled like the address of another endpoint whose id is that address.
        if (byId.containsKey(id)) {
            refused++;
            return null;
        }
        EndpointRecord created = new EndpointRecord(id, report.id(), report.address(), nowMs);
        byId.put(id, created);
        if (report.id() != null) {
            byUid.put(report.id(), created);
        }
        assignAddress(created, report.address());
        return created;
    }

    /**
     * Assigns the address to the record. A record that had the address before hands over its entries of sources without
     * uids.
     */
    private void assignAddress(EndpointRecord record, String address) {
        EndpointRecord previous = byAddress.put(address, record);
        record.setAddress(address);
        if (previous == null || previous == record) {
            return;
        }
        for (Map.Entry<EndpointSource, SourceEntry> entry : List.copyOf(previous.entries.entrySet())) {
            EndpointSource source = entry.getKey();
            if (!source.isDiscovery()) {
                previous.entries.remove(source);
                source.entries().remove(previous);
                record.entries.put(source, entry.getValue());
                source.entries().put(record, entry.getValue());
            }
        }
        onDisplaced.accept(previous);
    }

    void remove(EndpointRecord record) {
        byId.remove(record.id(), record);
        byUid.remove(record.uid(), record);
        byAddress.remove(record.address(), record);
        record.entries.keySet().forEach(source -> source.entries().remove(record));
    }
}
