package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.SlidingWindowCounter;

/**
 * Limits the harm of multigets whose parts crash servers: such a one does so with its first attempts, and a wide one would take
 * the fleet along at once. Only single multigets are suspected, no op type, so a wrong suspicion costs one answer's time.
 */
final class ServerCrashGuard {
    /** A multiget of fewer parts is not wide. */
    private static final int MIN_WIDE_PARTS = 32;
    /** A multiget whose batches could reach this share of the servers is wide. */
    private static final double WIDE_SERVER_SHARE = 0.25;
    /** Connections reset by so many servers, nothing answered, make a multiget suspected. */
    private static final int SUSPICIOUS_RESETS = 2;
    /** So many crashes within the window make every multiget send one part first. */
    private static final int SUSPICIOUS_CRASHES = 3;

    private static final double CRASH_WINDOW_MS = 20_000;

    private final EventContext context;
    private final ServerTable table;
    private final PartQueues queues;
    private final SlidingWindowCounter crashes = new SlidingWindowCounter();

    ServerCrashGuard(EventContext context, ServerTable table, PartQueues queues) {
        this.context = context;
        this.table = table;
        this.queues = queues;
    }

    /** Takes a server that ended or started anew without having drained. */
    void recordCrash() {
        crashes.discardBefore(context.nowMs() - CRASH_WINDOW_MS);
        crashes.add(context.nowMs(), 1);
    }

    /**
     * Whether a multiget is to send its first part alone: a wide one, and any while servers crash. The other parts follow with
     * that part's answer, or after the expected latency where no connection was reset.
     */
    boolean shouldSendFirstPartAlone(Multiget multiget) {
        return multiget.parts.size() > 1 && (hasRecentCrashes() || isWide(multiget));
    }

    private boolean hasRecentCrashes() {
        return crashes.countSince(context.nowMs() - CRASH_WINDOW_MS) >= SUSPICIOUS_CRASHES;
    }

    private boolean isWide(Multiget multiget) {
        double widePartCount = WIDE_SERVER_SHARE * table.size() * table.maxPartsPerBatch();
        return multiget.parts.size() >= Math.max(MIN_WIDE_PARTS, widePartCount);
    }

    /** Whether nothing further of a multiget is sent: it is given up when nothing of it is in flight any more. */
    static boolean isSuspected(Multiget multiget) {
        return multiget.awaitingFirstAnswer && !multiget.connectionsResetBy.isEmpty();
    }

    /** Takes a connection that a server reset while a part was in flight on it. */
    void recordConnectionReset(Multiget multiget, Server server) {
        multiget.connectionsResetBy.add(server);
        if (multiget.answeredWeight == 0 && multiget.connectionsResetBy.size() >= SUSPICIOUS_RESETS) {
            multiget.awaitingFirstAnswer = true;
            for (Part part : multiget.parts) {
                queues.dequeue(part);
            }
        }
    }
}
