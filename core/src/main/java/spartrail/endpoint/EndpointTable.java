package spartrail.endpoint;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Which record a report belongs to.
 *
 * <ol>
 * <li>An endpoint is identified by discovery's uid; without one, by its address.
 * <li>A uid that comes to an address known without one takes that record over.
 * <li>A uid that comes to the address of another uid is another endpoint; entries of sources without uids go with the address.
 * <li>Addresses that are not allowed, and more endpoints than the limit, are refused and counted.
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

    /** {@code onDisplaced} is called with each record whose address another one has taken. */
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

    /** By id, uid or address; null if there is none. */
    EndpointRecord find(String name) {
        EndpointRecord record = byId.get(name);
        if (record == null) {
            record = byUid.get(name);
        }
        return record == null ? byAddress.get(name) : record;
    }

    long refused() {
        return refused;
    }

    long notAllowed() {
        return notAllowed;
    }

    /** The record that the report is about, a new one where there is none; null where it is refused. */
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
            settle(known, report.address());
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
        // A uid may be the address of another endpoint, which is known by it already.
        if (byId.containsKey(id)) {
            refused++;
            return null;
        }
        EndpointRecord created = new EndpointRecord(id, report.id(), report.address(), nowMs);
        byId.put(id, created);
        if (report.id() != null) {
            byUid.put(report.id(), created);
        }
        settle(created, report.address());
        return created;
    }

    /** The record is at this address from now on; the one that was there loses the entries of sources without uids. */
    private void settle(EndpointRecord record, String address) {
        EndpointRecord before = byAddress.put(address, record);
        record.setAddress(address);
        if (before == null || before == record) {
            return;
        }
        for (Map.Entry<EndpointSource, SourceEntry> each : List.copyOf(before.entries.entrySet())) {
            EndpointSource source = each.getKey();
            if (!source.isDiscovery()) {
                before.entries.remove(source);
                source.entries().remove(before);
                record.entries.put(source, each.getValue());
                source.entries().put(record, each.getValue());
            }
        }
        onDisplaced.accept(before);
    }

    void remove(EndpointRecord record) {
        byId.remove(record.id(), record);
        byUid.remove(record.uid(), record);
        byAddress.remove(record.address(), record);
        record.entries.keySet().forEach(source -> source.entries().remove(record));
    }
}
