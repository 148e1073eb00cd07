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
 * Merges the reports of several sources, which may disagree, into one status for each endpoint.
 *
 * <p>{@link EndpointTable} finds the record that a report belongs to, {@link StatusRules} derives the status of a
 * record from the reports of all sources, and {@link EndpointPublisher} determines which changes the coordinator
 * receives. The registry itself stores the reports, tracks which sources are available, and evaluates a record whenever
 * a report or the passing of time may have changed its status.
 *
 * <p>Cost: a report takes time proportional to the endpoints of its cell and to the neighboring cells, independent of
 * the size of the fleet; a source that becomes unavailable takes time proportional to the endpoints on which it has
 * reported. The registry has no clock and does no I/O; one thread owns an instance.
 */
public final class EndpointRegistry {
    /** Counters for logs. */
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
     * Creates an empty registry. Shard s is held by the cells (s + j) mod cells, for j from 0 to the replication factor
     * minus one.
     *
     * @param isAllowed accepts the addresses that sources may list; reports with other addresses are refused and
     *        counted
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

    /** Returns the source of this name, creating it if needed; a new source counts as unavailable until it reports. */
    public EndpointSource getOrCreateSource(String name, EndpointSource.Kind kind, double atMs) {
        return sources.getOrCreate(name, kind, atMs);
    }

    // Reports

    /**
     * Applies an answer of a source, which makes the source available.
     *
     * @param isComplete whether the answer lists every endpoint that the source knows, so that a missing endpoint
     *        counts as absent
     * @param lifetimeMs how long the reports are valid
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

    /** Stores the report; returns whether it differs from what the source reported before. */
    private boolean applyReport(EndpointSource source, EndpointRecord record, SourceReport report) {
        SourceEntry known = record.entries.get(source);
        boolean isNew = known == null || known.isAbsent();
        boolean isChanged = isNew || !report.equals(known.report());
        double absentSinceMs = known == null ? source.firstAnswerMs() : known.absentSinceMs();
        SourceEntry entry = known == null ? createEntry(source, record) : known;
        entry.update(report, nowMs);
        record.learnStart(report);
        boolean mayLift = isNew && !source.isDiscovery();
        if (mayLift && rules.mayLiftTombstone(source, record, absentSinceMs, nowMs)) {
            liftTombstone(record);
        }
        return isChanged;
    }

    private SourceEntry createEntry(EndpointSource source, EndpointRecord record) {
        SourceEntry entry = new SourceEntry(nowMs);
        record.entries.put(source, entry);
        source.entries().put(record, entry);
        return entry;
    }

    /** Counts an absence for each known endpoint that a complete answer lacks; returns the records to evaluate. */
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

    /**
     * Evaluates the records that have been absent from the most answers first. An endpoint that is removed now because
     * its absence is confirmed must not count towards the floor when an endpoint that is absent for the first time is
     * evaluated.
     */
    private void evaluateLongestAbsentFirst(EndpointSource source, Set<EndpointRecord> records) {
        records.stream()
                .sorted(Comparator.comparingInt(record -> -countAbsentAnswers(source, record)))
                .toList()
                .forEach(this::evaluate);
    }

    private static int countAbsentAnswers(EndpointSource source, EndpointRecord record) {
        SourceEntry entry = record.entries.get(source);
        return entry == null ? 0 : entry.absentAnswers();
    }

    /**
     * Drops discovery's reports on an endpoint whose address belongs to a newer process than the one that discovery
     * removed.
     */
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

    /** Marks a source as unavailable because it does not answer. */
    public void markUnavailable(EndpointSource source, double atMs) {
        nowMs = atMs;
        if (source.isAvailable()) {
            source.markUnavailable(atMs);
            // Its reports age from now on. An absence that needs further answers of this source to be confirmed stays
            // unconfirmed until the source answers again or the confirmation time has passed.
            List.copyOf(source.entries().keySet()).forEach(this::evaluate);
        }
    }

    // Time

    /** Evaluates the records whose status is due for review at this time. */
    public void advance(double atMs) {
        nowMs = atMs;
        timers.runDue(atMs);
    }

    /** When {@link #advance} has the next record to evaluate; {@code Double.MAX_VALUE} if there is none. */
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
        publisher.moveToCell(record, best == null ? record.cell : best.cell());
        record.isCounted = record.isInUse();
        if (record.isCounted) {
            cells.increment(record.cell);
        }
        publisher.publishCell(record.cell);
    }

    /** The reports that have changed since the last call, in the form in which the coordinator receives them. */
    public List<SourceReport> takeChanges() {
        return publisher.takeChanges();
    }

    // For operators and snapshots

    /** All records, in the order in which the endpoints were first seen. */
    public Collection<EndpointRecord> records() {
        return table.all();
    }

    /** All sources created so far. */
    public Collection<EndpointSource> sources() {
        return sources.all();
    }

    /** Finds a record by id, uid or address; null if there is none. */
    public EndpointRecord find(String name) {
        return table.find(name);
    }

    /** The counters since the start of the process. */
    public Counts counts() {
        return new Counts(
                table.all().size(),
                table.refusedCount(),
                table.notAllowedCount(),
                rules.heldByFloorCount(),
                tombstonesLifted,
                rules.flapsDampedCount(),
                evaluations);
    }

    /** All reports, for a snapshot; it includes removals and tombstones. */
    public List<SnapshotEntry> snapshot() {
        List<SnapshotEntry> stored = new ArrayList<>();
        for (EndpointRecord record : table.all()) {
            record.entries.forEach((source, entry) -> stored.add(new SnapshotEntry(
                    source.name(),
                    source.kind(),
                    record.id(),
                    record.address(),
                    entry.report(),
                    entry.isRemoved(),
                    record.seenMs)));
        }
        return stored;
    }

    /**
     * Restores a snapshot that was saved at {@code savedMs}; its sources count as unavailable from that time until they
     * answer.
     */
    public void restore(List<SnapshotEntry> snapshot, double savedMs, double atMs) {
        nowMs = atMs;
        Set<EndpointRecord> touched = new LinkedHashSet<>();
        for (SnapshotEntry stored : snapshot) {
            EndpointRecord restored = restore(stored, savedMs);
            if (restored != null) {
                touched.add(restored);
            }
        }
        touched.forEach(this::evaluate);
    }

    private EndpointRecord restore(SnapshotEntry stored, double savedMs) {
        EndpointSource source = getOrCreateSource(stored.source(), stored.kind(), savedMs);
        source.restoreUnavailability(savedMs);
        EndpointRecord record = table.findById(stored.id());
        if (record == null) {
            // A report that the endpoint is gone may lack the address, so the one stored with the entry is used.
            record = table.resolve(stored.report().withAddress(stored.address()), nowMs);
        }
        if (record == null) {
            return null;
        }
        applyReport(source, record, stored.report());
        record.entries.get(source).restoreAbsence(stored.isRemoved(), savedMs);
        record.seenMs = Math.min(record.seenMs, stored.seenMs());
        return record;
    }
}
