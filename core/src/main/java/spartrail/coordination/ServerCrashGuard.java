package spartrail.coordination;

import spartrail.model.Multiget;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.SlidingWindowCounter;

/**
 * Limits the harm of multigets whose parts crash servers. Such a multiget crashes servers with its first attempts, and
 * one with many parts could crash most of the fleet at once. Suspicion applies to single multigets, never to an op
 * type, so a wrong suspicion delays one multiget by the time of one answer.
 */
final class ServerCrashGuard {
    /** A multiget with fewer parts than this is not wide. */
    private static final int MIN_WIDE_PARTS = 32;
    /** A multiget whose batches could reach this share of the servers is wide. */
    private static final double WIDE_SERVER_SHARE = 0.25;
    /** A multiget is suspected if this many servers have reset its connections and none of its parts was answered. */
    private static final int SUSPICIOUS_RESETS = 2;
    /** After this many crashes within the window, every multiget sends one part first. */
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

    /** Records that a server has ended or restarted without draining first. */
    void recordCrash() {
        crashes.discardBefore(context.nowMs() - CRASH_WINDOW_MS);
        crashes.add(context.nowMs(), 1);
    }

    /**
     * Whether a multiget must send its first part alone: a wide multiget always, any other while servers crash. The
     * other parts are sent when the first one is answered, or after the expected latency if no connection was reset.
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

    /** Whether no more parts of a multiget are sent. It is given up when none of its attempts is in flight any more. */
    static boolean isSuspected(Multiget multiget) {
        return multiget.awaitingFirstAnswer && !multiget.connectionsResetBy.isEmpty();
    }

    /** Records that a server has reset a connection while a part of the multiget was in flight on it. */
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
