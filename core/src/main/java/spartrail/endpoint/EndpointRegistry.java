package spartrail.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import spartrail.endpoint.EndpointRecord.Status;
import spartrail.endpoint.StatusRules.Verdict;
import spartrail.model.TimerQueue;

/**
 * One view of all endpoints, merged from sources that disagree.
 *
 * <p>{@link EndpointTable} says which record a report belongs to, {@link StatusRules} which status follows from the reports of all
 * sources, {@link EndpointPublisher} what of it the coordinator is to know. Here reports are entered, records are evaluated when
 * a report or time may have changed their status, and sources come and go.
 *
 * <p>Cost: a report costs its endpoint, the endpoint's cell and the cells beside it, never the fleet; a source that becomes
 * unavailable costs the endpoints that it has named. No clock, no I/O; one thread owns an instance.
 */
public final class EndpointRegistry {
    /** Counts for logs. */
    public record Counts(
            long endpoints,
            long refused,
            long notAllowed,
            long heldByFloor,
            long tombstonesLifted,
            long flapsDamped,
            long evaluations) {}

    private final MergeLimits limits;
    private final CellOccupancy cells;
    private final SourceTable sources = new SourceTable();
    private final EndpointTable table;
    private final StatusRules rules;
    private final EndpointPublisher publisher = new EndpointPublisher();
    private final TimerQueue timers = new TimerQueue();
    private final Map<EndpointRecord, TimerQueue.Timer> reviews = new HashMap<>();
    private double nowMs;
    private long tombstonesLifted;
    private long evaluations;

    /**
     * Shard s is held by the cells (s + j) mod cells, j from 0 to the replication factor less one.
     *
     * @param isAllowed which addresses sources may name; others are refused and counted
     */
    public EndpointRegistry(int cells, int replicationFactor, MergeLimits limits, Predicate<String> isAllowed) {
        this(cells, replicationFactor, limits, isAllowed, StatusRules::new);
    }

    EndpointRegistry(
            int cells,
            int replicationFactor,
            MergeLimits limits,
            Predicate<String> isAllowed,
            StatusRules.Factory rules) {
        this.limits = limits;
        this.cells = new CellOccupancy(cells, replicationFactor);
        this.table = new EndpointTable(limits, isAllowed, this.cells, this::evaluate);
        this.rules = rules.create(limits, this.cells, sources);
    }

    /** The source of this name; a new one counts as unavailable until it reports. */
    public EndpointSource getOrCreateSource(String name, EndpointSource.Kind kind, double atMs) {
        return sources.getOrCreate(name, kind, atMs);
    }

    // Reports

    /**
     * Enters what a source reports.
     *
     * @param isComplete whether the reports are all that the source knows, so that it leaves out what they lack
     * @param lifetimeMs how long they are valid
     */
    public void applyReports(
            EndpointSource source, boolean isComplete, List<SourceReport> reports, double lifetimeMs, double atMs) {
        nowMs = atMs;
        boolean wasUnavailable = !source.isAvailable();
        source.markAnswered(lifetimeMs, atMs);
        Set<EndpointRecord> touched = new LinkedHashSet<>();
        Set<EndpointRecord> named = new LinkedHashSet<>();
        for (SourceReport report : reports) {
            EndpointRecord record = table.resolve(report, nowMs);
            if (record != null) {
                named.add(record);
                if (applyReport(source, record, report)) {
                    touched.add(record);
                }
            }
        }
        if (isComplete) {
            touched.addAll(countAbsences(source, named));
        }
        if (wasUnavailable) {
            touched.addAll(source.entries().keySet());
        }
        evaluateLongestAbsentFirst(source, touched);
    }

    /** Whether the report changes anything. */
    private boolean applyReport(EndpointSource source, EndpointRecord record, SourceReport report) {
        SourceEntry known = record.entries.get(source);
        boolean isNew = known == null || known.isAbsent();
        boolean isChanged = isNew || !report.equals(known.report());
        double leftOutSinceMs = known == null ? source.firstAnswerMs() : known.absentSinceMs();
        SourceEntry entry = known == null ? link(source, record) : known;
        entry.update(report, nowMs);
        record.learnStart(report);
        boolean mayLift = isNew && !source.isDiscovery();
        if (mayLift && rules.mayLiftTombstone(source, record, leftOutSinceMs, nowMs)) {
            liftTombstone(record);
        }
        return isChanged;
    }

    private SourceEntry link(EndpointSource source, EndpointRecord record) {
        SourceEntry entry = new SourceEntry(nowMs);
        record.entries.put(source, entry);
        source.entries().put(record, entry);
        return entry;
    }

    /** A complete answer leaves out all that it does not name; returns those whose status may change by it. */
    private List<EndpointRecord> countAbsences(EndpointSource source, Set<EndpointRecord> named) {
        List<EndpointRecord> counted = new ArrayList<>();
        source.entries().forEach((record, entry) -> {
            if (!named.contains(record) && !entry.isRemoved()) {
                entry.countAbsence(nowMs);
                counted.add(record);
            }
        });
        return counted;
    }

    /** One that goes now because its absence is confirmed must not count for the floor of one that is first left out now. */
    private void evaluateLongestAbsentFirst(EndpointSource source, Set<EndpointRecord> records) {
        records.stream()
                .sorted(Comparator.comparingInt(record -> -absentAnswers(source, record)))
                .toList()
                .forEach(this::evaluate);
    }

    private static int absentAnswers(EndpointSource source, EndpointRecord record) {
        SourceEntry entry = record.entries.get(source);
        return entry == null ? 0 : entry.absentAnswers();
    }

    /** The endpoint is another process than the one that discovery has ended. */
    private void liftTombstone(EndpointRecord record) {
        tombstonesLifted++;
        for (EndpointSource source : sources.all()) {
            if (source.isDiscovery()) {
                source.entries().remove(record);
                record.entries.remove(source);
            }
        }
        record.seenMs = nowMs;
        record.startedMs = Double.NaN;
    }

    /** The source does not answer. */
    public void markUnavailable(EndpointSource source, double atMs) {
        nowMs = atMs;
        if (source.isAvailable()) {
            source.markUnavailable(atMs);
            // Absences that only its further answers could confirm wait for it.
            List.copyOf(source.entries().keySet()).forEach(this::evaluate);
        }
    }

    // Time

    /** Evaluates the records whose status time alone may have changed by now. */
    public void advance(double atMs) {
        nowMs = atMs;
        timers.runDue(atMs);
    }

    /** When {@link #advance} has something to do next. */
    public double nextDueMs() {
        return timers.nextDueMs();
    }

    // Evaluation

    private void evaluate(EndpointRecord record) {
        evaluations++;
        Verdict verdict = rules.evaluate(record, nowMs);
        apply(record, verdict);
        TimerQueue.Timer review = reviews.remove(record);
        if (review != null) {
            timers.cancel(review);
        }
        if (verdict.isForgotten()) {
            table.remove(record);
            publisher.remove(record);
        } else if (verdict.reviewAtMs() < StatusRules.NEVER_MS) {
            reviews.put(record, timers.schedule(verdict.reviewAtMs(), () -> {
                reviews.remove(record);
                evaluate(record);
            }));
        }
    }

    private void apply(EndpointRecord record, Verdict verdict) {
        boolean isRemoved = verdict.status() == Status.GONE && record.status() != Status.GONE;
        if (isRemoved && record.status() != Status.JOINING) {
            record.flaps.recordRemoval(nowMs, limits.flapHalfLifeMs());
        }
        record.setStatus(verdict.status(), verdict.reason(), nowMs);
        if (record.isCounted) {
            cells.decrement(record.cell);
        }
        SourceReport best = record.bestReport();
        publisher.move(record, best == null ? record.cell : best.cell());
        record.isCounted = record.isInUse();
        if (record.isCounted) {
            cells.increment(record.cell);
        }
        publisher.publishCell(record.cell);
    }

    /** What has changed since this was last asked, as the coordinator is to know it. */
    public List<SourceReport> takeChanges() {
        return publisher.takeChanges();
    }

    // For operators and snapshots

    /** All records, the first seen first. */
    public Collection<EndpointRecord> records() {
        return table.all();
    }

    /** All sources that have reported or been restored. */
    public Collection<EndpointSource> sources() {
        return sources.all();
    }

    /** By id, uid or address; null if there is none. */
    public EndpointRecord find(String name) {
        return table.find(name);
    }

    /** Counts since the start. */
    public Counts counts() {
        return new Counts(
                table.all().size(),
                table.refused(),
                table.notAllowed(),
                rules.heldByFloor(),
                tombstonesLifted,
                rules.flapsDamped(),
                evaluations);
    }

    /** All that a snapshot keeps; absences and tombstones are kept with it. */
    public List<SnapshotEntry> snapshot() {
        List<SnapshotEntry> kept = new ArrayList<>();
        for (EndpointRecord record : table.all()) {
            record.entries.forEach((source, entry) -> kept.add(new SnapshotEntry(
                    source.name(),
                    source.kind(),
                    record.id(),
                    record.address(),
                    entry.report(),
                    entry.isRemoved(),
                    record.seenMs)));
        }
        return kept;
    }

    /** Takes up a snapshot that was saved then; its sources count as unavailable since, until they answer. */
    public void restore(List<SnapshotEntry> snapshot, double savedMs, double atMs) {
        nowMs = atMs;
        Set<EndpointRecord> touched = new LinkedHashSet<>();
        for (SnapshotEntry kept : snapshot) {
            EndpointRecord restored = restore(kept, savedMs);
            if (restored != null) {
                touched.add(restored);
            }
        }
        touched.forEach(this::evaluate);
    }

    private EndpointRecord restore(SnapshotEntry kept, double savedMs) {
        EndpointSource source = getOrCreateSource(kept.source(), kept.kind(), savedMs);
        source.restoreUnavailability(savedMs);
        EndpointRecord record = table.findById(kept.id());
        if (record == null) {
            // A report that ends an endpoint need not say where it was.
            record = table.resolve(kept.report().withAddress(kept.address()), nowMs);
        }
        if (record == null) {
            return null;
        }
        applyReport(source, record, kept.report());
        record.entries.get(source).restoreAbsence(kept.isRemoved(), savedMs);
        record.seenMs = Math.min(record.seenMs, kept.seenMs());
        return record;
    }
}
