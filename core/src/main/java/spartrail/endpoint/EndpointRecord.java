package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import spartrail.model.Server;

/**
 * One endpoint, the report of each source on it, and the resulting status. Only the registry's thread reads and changes
 * a record; the fields that are not private are shared by the classes of this package.
 */
public final class EndpointRecord {
    /** The status of an endpoint in the registry. */
    public enum Status {
        /** No source has reported on it. */
        UNKNOWN,
        /** Listed again after it was gone, and not in use yet because it has flapped before. */
        JOINING,
        /** In use. */
        LIVE,
        /** In use, although the sources that list it have been unavailable for longer than their reports are valid. */
        SUSPECT,
        /** Receives no new requests. */
        DRAINING,
        /** Not in use; the record is kept for the retention period. */
        GONE;

        Server.State toServerState() {
            return switch (this) {
                case LIVE, SUSPECT -> Server.State.LIVE;
                case DRAINING -> Server.State.DRAINING;
                default -> Server.State.GONE;
            };
        }
    }

    final Map<EndpointSource, SourceEntry> entries = new LinkedHashMap<>();
    final FlapHistory flaps = new FlapHistory();
    /** When the endpoint was first seen, or was seen again after it had been gone. */
    double seenMs;
    /** When an endpoint with status JOINING becomes LIVE. */
    double joinAtMs;
    /** The latest process start time reported by any source; NaN if no source has reported one. */
    double startedMs = Double.NaN;
    /** Whether the endpoint is included in its cell's count of endpoints in use. */
    boolean isCounted;
    /** The cell of the best report. */
    int cell;
    /** The report last published; null before the first publication. */
    SourceReport published;
    /** Whether the endpoint is in use but its cell also has endpoints in use of a better tier. */
    boolean isStandby;

    private final String id;
    private String uid;
    private String address;
    private Status status = Status.UNKNOWN;
    private String reason = "no source names it";
    private double statusSinceMs;

    EndpointRecord(String id, String uid, String address, double nowMs) {
        this.id = id;
        this.uid = uid;
        this.address = address;
        this.seenMs = nowMs;
        this.statusSinceMs = nowMs;
    }

    /** The name under which the endpoint was first seen; the coordinator identifies it by this name. */
    public String id() {
        return id;
    }

    /** Discovery's uid; null if discovery has not listed the endpoint. */
    public String uid() {
        return uid;
    }

    /** The address and port. */
    public String address() {
        return address;
    }

    /** The status derived from the reports of all sources. */
    public Status status() {
        return status;
    }

    /** The rule that decided the status, as text for operators. */
    public String reason() {
        return reason;
    }

    /** When the endpoint entered this status. */
    public double statusSinceMs() {
        return statusSinceMs;
    }

    /** Whether the endpoint is on standby because its cell has endpoints in use of a better tier. */
    public boolean isStandby() {
        return isStandby;
    }

    /** The report last published; null if none was. */
    public SourceReport published() {
        return published;
    }

    void setUid(String newUid) {
        uid = newUid;
    }

    void setAddress(String newAddress) {
        address = newAddress;
    }

    void setStatus(Status newStatus, String newReason, double nowMs) {
        if (newStatus != status) {
            status = newStatus;
            statusSinceMs = nowMs;
        }
        reason = newReason;
    }

    boolean isInUse() {
        return status == Status.LIVE || status == Status.SUSPECT;
    }

    /** The first source of this kind that has reported on the endpoint, or null. */
    EndpointSource findSource(EndpointSource.Kind kind) {
        for (EndpointSource source : entries.keySet()) {
            if (source.kind() == kind) {
                return source;
            }
        }
        return null;
    }

    /**
     * The most reliable report: discovery's if there is one, else that of the last source that still lists the
     * endpoint, else the first report.
     */
    SourceReport bestReport() {
        SourceReport best = null;
        for (Map.Entry<EndpointSource, SourceEntry> sourceAndEntry : entries.entrySet()) {
            SourceEntry entry = sourceAndEntry.getValue();
            if (sourceAndEntry.getKey().isDiscovery()) {
                return entry.report();
            }
            boolean isNamed = !entry.isRemoved() && !entry.isAbsent();
            if (best == null || isNamed) {
                best = entry.report();
            }
        }
        return best;
    }

    /** Keeps the latest start time: an earlier one belongs to a process that has been replaced. */
    void learnStart(SourceReport report) {
        boolean isLater = !(report.startedMs() <= startedMs);
        if (report.hasStart() && isLater) {
            startedMs = report.startedMs();
        }
    }
}
