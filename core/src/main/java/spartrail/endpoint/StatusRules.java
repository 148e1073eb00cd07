package spartrail.endpoint;

import java.util.Locale;
import java.util.Map;
import spartrail.endpoint.EndpointRecord.Status;
import spartrail.model.Server;

/**
 * Decides the status of an endpoint by the first of these rules that matches:
 *
 * <pre>
 *  1 discovery reports it draining                     DRAINING  at once, whatever other sources report
 *  2 discovery reports it gone, or a complete list of  GONE      at once, whatever other sources report; if the absence
 *    discovery lacks it                                          takes a shard below the floor, after
 *                                                                discoveryConfirmMs
 *  3 as 1 or 2, and discovery is unavailable           the same  a tombstone: another source lifts it only by listing
 *                                                                the endpoint again after a whole report lifetime of
 *                                                                absence
 *  4 discovery lists it                                LIVE
 *  5 as 4, discovery unavailable for over freezeMs     SUSPECT   GONE after another suspectMs, if the floor allows it
 *  6 another source lists it                           LIVE      JOINING for a delay first, if it has flapped before
 *  7 no source lists it any more, the floor allows     GONE
 *    the removal
 *  8 as 7, the floor does not allow the removal        LIVE      until the absence is confirmed by answers or time
 *  9 the sources that list it are unavailable          LIVE      then SUSPECT, then GONE, as in 5
 * </pre>
 *
 * <p>Cost: proportional to the sources that have reported on the endpoint, and to the neighboring cells.
 */
class StatusRules {
    /** The review time of a status that only a new report can change. */
    static final double NEVER_MS = Double.MAX_VALUE;

    private static final double MIN_REVIEW_INTERVAL_MS = 1000;

    /** A decayed count of recent removals below this causes no delay. */
    private static final double MIN_RECENT_REMOVALS = 0.5;

    /** Creates the rules of a registry; tests create faulty ones. */
    @FunctionalInterface
    interface Factory {
        StatusRules create(MergeLimits limits, CellOccupancy cells, SourceTable sources);
    }

    /**
     * A status and the rule that decided it.
     *
     * @param reviewAtMs when the status may change without a new report
     * @param isForgotten whether the record can be deleted
     */
    record Verdict(Status status, String reason, double reviewAtMs, boolean isForgotten) {
        Verdict(Status status, String reason, double reviewAtMs) {
            this(status, reason, reviewAtMs, false);
        }
    }

    private final MergeLimits limits;
    private final CellOccupancy cells;
    private final SourceTable sources;
    private long heldByFloor;
    private long flapsDamped;

    StatusRules(MergeLimits limits, CellOccupancy cells, SourceTable sources) {
        this.limits = limits;
        this.cells = cells;
        this.sources = sources;
    }

    /** How often an evaluation has kept an endpoint in use because of the floor. */
    long heldByFloorCount() {
        return heldByFloor;
    }

    /** How often an endpoint that returned has been delayed because it had flapped. */
    long flapsDampedCount() {
        return flapsDamped;
    }

    /**
     * Decides the status; updates in the record which absences count as removals, and its join and first-seen times.
     */
    Verdict evaluate(EndpointRecord record, double nowMs) {
        EndpointSource discovery = record.findSource(EndpointSource.Kind.DISCOVERY);
        if (discovery != null) {
            Verdict verdict = evaluateByDiscovery(record, discovery, nowMs);
            if (verdict != null) {
                return verdict;
            }
        }
        return evaluateByOtherSources(record, nowMs);
    }

    // Rules 1 to 5

    /** Applies rules 1 to 5; returns null if the other sources decide. */
    private Verdict evaluateByDiscovery(EndpointRecord record, EndpointSource discovery, double nowMs) {
        SourceEntry entry = record.entries.get(discovery);
        String tombstone = discovery.isAvailable() ? "" : ", a tombstone while discovery is unavailable";
        Server.State reported = entry.report().state();
        if (reported == Server.State.DRAINING) {
            return new Verdict(Status.DRAINING, "1 discovery reports it draining" + tombstone, NEVER_MS);
        }
        if (reported == Server.State.GONE || entry.isRemoved()) {
            return evaluateGone(record, "2 discovery reports it gone" + tombstone, nowMs);
        }
        if (entry.isAbsent()) {
            return evaluateAbsenceFromDiscovery(record, entry, tombstone, nowMs);
        }
        if (discovery.isAvailable()) {
            return new Verdict(Status.LIVE, "4 discovery lists it", NEVER_MS);
        }
        if (isListedByAvailableOther(record)) {
            return null;
        }
        return evaluateUnavailable(
                record, lastUnavailableSinceMs(record), "5 discovery listed it and is unavailable", nowMs);
    }

    private Verdict evaluateAbsenceFromDiscovery(
            EndpointRecord record, SourceEntry entry, String tombstone, double nowMs) {
        double confirmedAtMs = entry.absentSinceMs() + limits.discoveryConfirmMs();
        if (nowMs >= confirmedAtMs || floorAllowsRemoval(record)) {
            entry.markRemoved();
            return evaluateGone(record, "2 a complete list of discovery lacks it" + tombstone, nowMs);
        }
        heldByFloor++;
        return new Verdict(
                Status.LIVE,
                "2 a complete list of discovery lacks it, held for the floor until confirmed",
                confirmedAtMs);
    }

    /** When the last of the sources that list the endpoint became unavailable. */
    private static double lastUnavailableSinceMs(EndpointRecord record) {
        return record.entries.entrySet().stream()
                .filter(sourceAndEntry -> !sourceAndEntry.getValue().isAbsent())
                .mapToDouble(sourceAndEntry -> sourceAndEntry.getKey().unavailableSinceMs())
                .max()
                .orElse(0);
    }

    private static boolean isListedByAvailableOther(EndpointRecord record) {
        return record.entries.entrySet().stream()
                .anyMatch(sourceAndEntry -> !sourceAndEntry.getKey().isDiscovery()
                        && sourceAndEntry.getKey().isAvailable()
                        && !sourceAndEntry.getValue().isAbsent());
    }

    // Rules 6 to 9

    private Verdict evaluateByOtherSources(EndpointRecord record, double nowMs) {
        EndpointSource listingSource = null;
        boolean isListedByUnavailable = false;
        boolean hasAbsence = false;
        double unavailableSinceMs = Double.NEGATIVE_INFINITY;
        double confirmedAtMs = nowMs;
        for (Map.Entry<EndpointSource, SourceEntry> sourceAndEntry : record.entries.entrySet()) {
            EndpointSource source = sourceAndEntry.getKey();
            SourceEntry entry = sourceAndEntry.getValue();
            if (entry.isRemoved() || source.isDiscovery() && source.isAvailable()) {
                continue;
            }
            if (entry.isAbsent()) {
                hasAbsence = true;
                // Every absence must be confirmed, so an evaluation before the last confirmation would change nothing.
                confirmedAtMs = Math.max(confirmedAtMs, entry.absentSinceMs() + limits.confirmMs());
            } else if (source.isAvailable()) {
                listingSource = source;
            } else {
                isListedByUnavailable = true;
                unavailableSinceMs = Math.max(unavailableSinceMs, source.unavailableSinceMs());
            }
        }
        if (listingSource != null) {
            return evaluateListed(record, listingSource, nowMs);
        }
        if (isListedByUnavailable) {
            return evaluateUnavailable(record, unavailableSinceMs, "9 the sources that name it are unavailable", nowMs);
        }
        boolean isHeld = hasAbsence && record.isInUse() && !floorAllowsRemoval(record);
        if (isHeld && !areAbsencesConfirmed(record, nowMs)) {
            heldByFloor++;
            return new Verdict(Status.LIVE, "8 no source names it, held for the floor until confirmed", confirmedAtMs);
        }
        record.entries.values().stream().filter(SourceEntry::isAbsent).forEach(SourceEntry::markRemoved);
        return evaluateGone(record, "7 no source names it any more", nowMs);
    }

    private Verdict evaluateListed(EndpointRecord record, EndpointSource listingSource, double nowMs) {
        Verdict live = new Verdict(Status.LIVE, "6 " + listingSource + " names it", NEVER_MS);
        switch (record.status()) {
            case JOINING -> {
                return nowMs >= record.joinAtMs ? live : new Verdict(Status.JOINING, record.reason(), record.joinAtMs);
            }
            case UNKNOWN -> {
                record.seenMs = nowMs;
                return live;
            }
            case GONE -> {
                record.seenMs = nowMs;
                return evaluateReturn(record, listingSource, live, nowMs);
            }
            default -> {
                return live;
            }
        }
    }

    private Verdict evaluateReturn(EndpointRecord record, EndpointSource listingSource, Verdict live, double nowMs) {
        double delayMs = flapDelayMs(record, nowMs);
        if (delayMs <= 0) {
            return live;
        }
        flapsDamped++;
        record.joinAtMs = nowMs + delayMs;
        String reason = String.format(
                Locale.ROOT, "6 %s names it again, it waits %.0f ms as it has come and gone", listingSource, delayMs);
        return new Verdict(Status.JOINING, reason, record.joinAtMs);
    }

    /**
     * The delay of an endpoint that returns; 0 if a shard of its cell has fewer endpoints in use than the floor and so
     * needs it at once.
     */
    double flapDelayMs(EndpointRecord record, double nowMs) {
        if (!cells.eachShardHasAtLeast(record.cell, limits.floor())) {
            return 0;
        }
        double removals = record.flaps.recentRemovals(nowMs, limits.flapHalfLifeMs());
        if (removals < MIN_RECENT_REMOVALS) {
            return 0;
        }
        return Math.min(limits.maxFlapDelayMs(), limits.flapDelayMs() * Math.pow(2, Math.round(removals) - 1));
    }

    // Rules 5 and 9

    /**
     * Evaluates an endpoint listed only by unavailable sources: LIVE, then SUSPECT, then GONE if the floor allows it.
     */
    private Verdict evaluateUnavailable(EndpointRecord record, double unavailableSinceMs, String reason, double nowMs) {
        double suspectAtMs = unavailableSinceMs + limits.freezeMs();
        if (nowMs < suspectAtMs) {
            boolean isLive = record.isInUse() || record.status() == Status.UNKNOWN;
            return new Verdict(
                    isLive ? Status.LIVE : record.status(), reason + ", its reports are still valid", suspectAtMs);
        }
        double endAtMs = suspectAtMs + limits.suspectMs();
        if (nowMs < endAtMs) {
            return new Verdict(Status.SUSPECT, reason + " for too long", endAtMs);
        }
        if (record.isInUse() && !floorAllowsRemoval(record)) {
            // Evaluated again periodically, as the floor may allow the removal later.
            double reviewAtMs = nowMs + Math.max(MIN_REVIEW_INTERVAL_MS, limits.suspectMs());
            return new Verdict(Status.SUSPECT, reason + " for too long", reviewAtMs);
        }
        return evaluateGone(record, reason + " for far too long", nowMs);
    }

    // Absences

    /** Whether every absence that does not count as a removal yet is confirmed. */
    private boolean areAbsencesConfirmed(EndpointRecord record, double nowMs) {
        for (SourceEntry entry : record.entries.values()) {
            if (entry.isAbsent() && !entry.isRemoved() && !isConfirmed(entry, nowMs)) {
                return false;
            }
        }
        return true;
    }

    boolean isConfirmed(SourceEntry entry, double nowMs) {
        return entry.absentAnswers() >= limits.confirmAnswers() || nowMs >= entry.absentSinceMs() + limits.confirmMs();
    }

    /** Whether each shard of the cell has at least the floor of endpoints in use without this endpoint. */
    private boolean floorAllowsRemoval(EndpointRecord record) {
        return !record.isCounted || cells.eachShardHasAtLeast(record.cell, limits.floor() + 1);
    }

    /**
     * Whether a source that lists the endpoint again overrides discovery's last report on it. No source does so while
     * discovery is available. A source that does not know of the drain would bring a drained endpoint back, so the
     * endpoint must have been absent from the source's answers for as long as its reports are valid.
     */
    boolean mayLiftTombstone(EndpointSource source, EndpointRecord record, double absentSinceMs, double nowMs) {
        EndpointSource discovery = record.findSource(EndpointSource.Kind.DISCOVERY);
        if (discovery == null) {
            return false;
        }
        SourceEntry entry = record.entries.get(discovery);
        boolean isListed = entry.report().state() == Server.State.LIVE;
        if (isListed && !entry.isRemoved()) {
            return false;
        }
        double tombstoneSinceMs = isListed ? entry.absentSinceMs() : entry.stateSinceMs();
        double absentMs = nowMs - Math.max(absentSinceMs, tombstoneSinceMs);
        return !sources.isDiscoveryAvailable() && absentMs >= source.reportLifetimeMs();
    }

    /**
     * Evaluates an endpoint that is gone; its record is deleted after the retention if no source lists the endpoint.
     */
    private Verdict evaluateGone(EndpointRecord record, String reason, double nowMs) {
        double goneSinceMs = record.status() == Status.GONE ? record.statusSinceMs() : nowMs;
        double forgetAtMs = goneSinceMs + limits.retentionMs();
        // Deleting a tombstone while another source still lists the endpoint would bring the endpoint back.
        boolean isListed = record.entries.values().stream()
                .anyMatch(entry -> !entry.isAbsent() && entry.report().state() == Server.State.LIVE);
        if (nowMs >= forgetAtMs && sources.isDiscoveryAvailable() && !isListed) {
            return new Verdict(Status.GONE, reason, NEVER_MS, true);
        }
        return new Verdict(Status.GONE, reason, Math.max(nowMs, goneSinceMs) + limits.retentionMs());
    }
}
