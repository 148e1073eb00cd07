package spartrail.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import spartrail.model.Server;

/**
 * One endpoint, what each source reports on it, and the status that follows. Only the registry's thread reads and changes it; the
 * classes of this package share the fields that are not private.
 */
public final class EndpointRecord {
    /** The status of an endpoint in the registry. */
    public enum Status {
        /** No source has reported on it. */
        UNKNOWN,
        /** Named again after it was gone, and not in use yet, as it has come and gone before. */
        JOINING,
        /** In use. */
        LIVE,
        /** In use, but those that named it have been unavailable for longer than their reports are valid. */
        SUSPECT,
        /** Gets no new work. */
        DRAINING,
        /** Not in use, and remembered for a while. */
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
    /** When it was first seen, or seen again after it was gone. */
    double seenMs;
    /** When an endpoint that is joining comes into use. */
    double joinAtMs;
    /** The latest start that any source has reported; NaN if none has. */
    double startedMs = Double.NaN;
    /** Whether it counts among the endpoints in use of its cell. */
    boolean isCounted;
    /** The cell that it is listed in. */
    int cell;
    /** What was last published of it; null before. */
    SourceReport published;
    /** Whether its cell has endpoints of a better tier. */
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

    /** The name under which it was first seen, by which the coordinator knows it. */
    public String id() {
        return id;
    }

    /** Discovery's uid; null where discovery has not named it. */
    public String uid() {
        return uid;
    }

    /** The address and port. */
    public String address() {
        return address;
    }

    /** The status that follows from all reports. */
    public Status status() {
        return status;
    }

    /** The rule that decided the status. */
    public String reason() {
        return reason;
    }

    /** Since when it has this status. */
    public double statusSinceMs() {
        return statusSinceMs;
    }

    /** Whether it stands by, as its cell has endpoints of a better tier in use. */
    public boolean isStandby() {
        return isStandby;
    }

    /** What was last published of it; null if it never was. */
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

    /** The source of this kind that has reported on it, or null. */
    EndpointSource sourceOf(EndpointSource.Kind kind) {
        for (EndpointSource source : entries.keySet()) {
            if (source.kind() == kind) {
                return source;
            }
        }
        return null;
    }

    /** The report that says most: discovery's, else that of a source that names it. */
    SourceReport bestReport() {
        SourceReport best = null;
        for (Map.Entry<EndpointSource, SourceEntry> each : entries.entrySet()) {
            SourceEntry entry = each.getValue();
            if (each.getKey().isDiscovery()) {
                return entry.report();
            }
            boolean isNamed = !entry.isRemoved() && !entry.isAbsent();
            if (best == null || isNamed) {
                best = entry.report();
            }
        }
        return best;
    }

    /** Keeps the latest start: an earlier one is that of a process which has been replaced. */
    void learnStart(SourceReport report) {
        boolean isLater = !(report.startedMs() <= startedMs);
        if (report.hasStart() && isLater) {
            startedMs = report.startedMs();
        }
    }
}
