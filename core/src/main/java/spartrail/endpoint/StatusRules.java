package spartrail.endpoint;

import java.util.Locale;
import java.util.Map;
import spartrail.endpoint.EndpointRecord.Status;
import spartrail.model.Server;

/**
 * Which rule decides the status of an endpoint; the first that fits does:
 *
 * <pre>
 *  1 discovery reports it draining                          DRAINING  at once, over all others
 *  2 discovery reports it gone, or a complete list of       GONE      at once, over all others; where a complete list takes a
 *    discovery lacks it                                               shard below the floor, after discoveryConfirmMs
 *  3 as 1 or 2, and discovery is unavailable                the same  a tombstone: other sources cannot lift it, but for one that
 *                                                                     left it out for a whole lifetime and names it again
 *  4 discovery lists it                                     LIVE
 *  5 as 4, discovery is unavailable for over freezeMs       SUSPECT   after suspectMs more GONE, where the floor allows
 *  6 another source names it                                LIVE      or JOINING for a while, if it has come and gone before
 *  7 no source names it any more, the floor allows          GONE
 *  8 the same, the floor does not                           LIVE      until confirmed by answers or time
 *  9 the sources that name it are unavailable               LIVE      then SUSPECT, then GONE, as in 5
 * </pre>
 *
 * <p>Cost: by the sources that have reported on the endpoint, and the cells beside its own.
 */
class StatusRules {
    /** Nothing changes the status by itself. */
    static final double NEVER_MS = Double.MAX_VALUE;

    private static final double MIN_REVIEW_INTERVAL_MS = 1000;

    /** Recent removals below this count as none. */
    private static final double LEAST_RECENT_REMOVALS = 0.5;

    /** Makes the rules of a registry; a test makes others. */
    @FunctionalInterface
    interface Factory {
        StatusRules create(MergeLimits limits, CellOccupancy cells, SourceTable sources);
    }

    /**
     * A status with the rule that decided it.
     *
     * @param reviewAtMs when it may change by itself
     * @param isForgotten whether the record is no longer needed
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

    /** How often the floor has kept an endpoint in use. */
    long heldByFloor() {
        return heldByFloor;
    }

    /** How often an endpoint that came back had to wait. */
    long flapsDamped() {
        return flapsDamped;
    }

    /** Decides the status, and notes in the record which absences count and since when it waits. */
    Verdict evaluate(EndpointRecord record, double nowMs) {
        EndpointSource discovery = record.sourceOf(EndpointSource.Kind.DISCOVERY);
        if (discovery != null) {
            Verdict verdict = evaluateByDiscovery(record, discovery, nowMs);
            if (verdict != null) {
                return verdict;
            }
        }
        return evaluateByOtherSources(record, nowMs);
    }

    // Rules 1 to 5

    /** Null where the other sources decide. */
    private Verdict evaluateByDiscovery(EndpointRecord record, EndpointSource discovery, double nowMs) {
        SourceEntry entry = record.entries.get(discovery);
        String tombstone = discovery.isAvailable() ? "" : ", a tombstone while discovery is unavailable";
        Server.State reported = entry.report().state();
        if (reported == Server.State.DRAINING) {
            return new Verdict(Status.DRAINING, "1 discovery reports it draining" + tombstone, NEVER_MS);
        }
        if (reported == Server.State.GONE || entry.isRemoved()) {
            return gone(record, "2 discovery reports it gone" + tombstone, nowMs);
        }
        if (entry.isAbsent()) {
            return evaluateAbsenceFromDiscovery(record, entry, tombstone, nowMs);
        }
        if (discovery.isAvailable()) {
            return new Verdict(Status.LIVE, "4 discovery lists it", NEVER_MS);
        }
        if (isNamedByAvailableOther(record)) {
            return null;
        }
        return frozen(record, lastUnavailableSinceMs(record), "5 discovery listed it and is unavailable", nowMs);
    }

    private Verdict evaluateAbsenceFromDiscovery(
            EndpointRecord record, SourceEntry entry, String tombstone, double nowMs) {
        double confirmedAtMs = entry.absentSinceMs() + limits.discoveryConfirmMs();
        if (nowMs >= confirmedAtMs || floorAllowsRemoval(record)) {
            entry.markRemoved();
            return gone(record, "2 a complete list of discovery lacks it" + tombstone, nowMs);
        }
        heldByFloor++;
        return new Verdict(
                Status.LIVE,
                "2 a complete list of discovery lacks it, held for the floor until confirmed",
                confirmedAtMs);
    }

    /** When the last of the sources that name it became unavailable. */
    private static double lastUnavailableSinceMs(EndpointRecord record) {
        return record.entries.entrySet().stream()
                .filter(each -> !each.getValue().isAbsent())
                .mapToDouble(each -> each.getKey().unavailableSinceMs())
                .max()
                .orElse(0);
    }

    private static boolean isNamedByAvailableOther(EndpointRecord record) {
        return record.entries.entrySet().stream()
                .anyMatch(each -> !each.getKey().isDiscovery()
                        && each.getKey().isAvailable()
                        && !each.getValue().isAbsent());
    }

    // Rules 6 to 9

    private Verdict evaluateByOtherSources(EndpointRecord record, double nowMs) {
        EndpointSource naming = null;
        boolean isNamedByUnavailable = false;
        boolean isLeftOut = false;
        double unavailableSinceMs = Double.NEGATIVE_INFINITY;
        double confirmedAtMs = nowMs;
        for (Map.Entry<EndpointSource, SourceEntry> each : record.entries.entrySet()) {
            EndpointSource source = each.getKey();
            SourceEntry entry = each.getValue();
            if (entry.isRemoved() || source.isDiscovery() && source.isAvailable()) {
                continue;
            }
            if (entry.isAbsent()) {
                isLeftOut = true;
                // The last absence to be confirmed: until then another evaluation would change nothing.
                confirmedAtMs = Math.max(confirmedAtMs, entry.absentSinceMs() + limits.confirmMs());
            } else if (source.isAvailable()) {
                naming = source;
            } else {
                isNamedByUnavailable = true;
                unavailableSinceMs = Math.max(unavailableSinceMs, source.unavailableSinceMs());
            }
        }
        if (naming != null) {
            return named(record, naming, nowMs);
        }
        if (isNamedByUnavailable) {
            return frozen(record, unavailableSinceMs, "9 the sources that name it are unavailable", nowMs);
        }
        boolean isHeld = isLeftOut && record.isInUse() && !floorAllowsRemoval(record);
        if (isHeld && !areAbsencesConfirmed(record, nowMs)) {
            heldByFloor++;
            return new Verdict(Status.LIVE, "8 no source names it, held for the floor until confirmed", confirmedAtMs);
        }
        record.entries.values().stream().filter(SourceEntry::isAbsent).forEach(SourceEntry::markRemoved);
        return gone(record, "7 no source names it any more", nowMs);
    }

    private Verdict named(EndpointRecord record, EndpointSource naming, double nowMs) {
        Verdict live = new Verdict(Status.LIVE, "6 " + naming + " names it", NEVER_MS);
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
                return returned(record, naming, live, nowMs);
            }
            default -> {
                return live;
            }
        }
    }

    private Verdict returned(EndpointRecord record, EndpointSource naming, Verdict live, double nowMs) {
        double delayMs = flapDelayMs(record, nowMs);
        if (delayMs <= 0) {
            return live;
        }
        flapsDamped++;
        record.joinAtMs = nowMs + delayMs;
        String reason = String.format(
                Locale.ROOT, "6 %s names it again, it waits %.0f ms as it has come and gone", naming, delayMs);
        return new Verdict(Status.JOINING, reason, record.joinAtMs);
    }

    /** How long an endpoint that comes back waits; not at all where a shard has nobody else. */
    double flapDelayMs(EndpointRecord record, double nowMs) {
        if (!cells.eachShardHasAtLeast(record.cell, limits.floor())) {
            return 0;
        }
        double removals = record.flaps.recentRemovals(nowMs, limits.flapHalfLifeMs());
        if (removals < LEAST_RECENT_REMOVALS) {
            return 0;
        }
        return Math.min(limits.maxFlapDelayMs(), limits.flapDelayMs() * Math.pow(2, Math.round(removals) - 1));
    }

    // Rules 5 and 9

    /** Named only by sources that are unavailable: live, then suspect, then gone where the floor allows. */
    private Verdict frozen(EndpointRecord record, double unavailableSinceMs, String reason, double nowMs) {
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
            // Evaluated again from time to time: the floor may allow the removal later.
            double reviewAtMs = nowMs + Math.max(MIN_REVIEW_INTERVAL_MS, limits.suspectMs());
            return new Verdict(Status.SUSPECT, reason + " for too long", reviewAtMs);
        }
        return gone(record, reason + " for far too long", nowMs);
    }

    // Absences

    /** Whether every absence that does not count yet may count now. */
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

    /** Whether each shard that its cell holds keeps the floor of endpoints in use without it. */
    private boolean floorAllowsRemoval(EndpointRecord record) {
        return !record.isCounted || cells.eachShardHasAtLeast(record.cell, limits.floor() + 1);
    }

    /**
     * Whether a source that names the endpoint again ends discovery's last report on it. While discovery answers, none does; and a
     * source that never heard of the drain would bring a drained endpoint back, so it must have left the endpoint out for as long
     * as its reports are valid.
     */
    boolean mayLiftTombstone(EndpointSource source, EndpointRecord record, double leftOutSinceMs, double nowMs) {
        EndpointSource discovery = record.sourceOf(EndpointSource.Kind.DISCOVERY);
        if (discovery == null) {
            return false;
        }
        SourceEntry entry = record.entries.get(discovery);
        boolean isListed = entry.report().state() == Server.State.LIVE;
        if (isListed && !entry.isRemoved()) {
            return false;
        }
        double tombstoneSinceMs = isListed ? entry.absentSinceMs() : entry.stateSinceMs();
        double leftOutMs = nowMs - Math.max(leftOutSinceMs, tombstoneSinceMs);
        return !sources.isDiscoveryAvailable() && leftOutMs >= source.reportLifetimeMs();
    }

    /** Gone; the record is forgotten when the retention is over and no source names the endpoint. */
    private Verdict gone(EndpointRecord record, String reason, double nowMs) {
        double goneSinceMs = record.status() == Status.GONE ? record.statusSinceMs() : nowMs;
        double forgetAtMs = goneSinceMs + limits.retentionMs();
        // A tombstone that is forgotten while another source still names the endpoint would bring it back.
        boolean isNamed = record.entries.values().stream()
                .anyMatch(entry -> !entry.isAbsent() && entry.report().state() == Server.State.LIVE);
        if (nowMs >= forgetAtMs && sources.isDiscoveryAvailable() && !isNamed) {
            return new Verdict(Status.GONE, reason, NEVER_MS, true);
        }
        return new Verdict(Status.GONE, reason, Math.max(nowMs, goneSinceMs) + limits.retentionMs());
    }
}
