package spartrail.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import spartrail.model.Attempt;
import spartrail.model.OpType;
import spartrail.model.Server;

/**
 * Ejects servers whose answers, failures or silence are much worse than those of the other servers.
 *
 * <p>A server's relative latency is the latency of its answers divided by the mean latency of their op types. Failures
 * count as slow answers. The relative latency decays to 1, so that an ejected server gets a few attempts again, under a
 * low concurrency limit, which show whether it has recovered. Cost: each tick visits all servers once and sorts their
 * relative latencies.
 */
final class OutlierDetector {
    /** The time over which relative latencies decay to 1. */
    static final double DECAY_MS = 4000;
    /**
     * The time over which relative latencies of zones decay to 1. It is longer because all servers of a zone are tried
     * again at the same time.
     */
    private static final double ZONE_DECAY_MS = 12_000;
    /** A server is ejected if it is this many times slower than the median server, or its zone than the best zone. */
    private static final double EJECTION_RATIO = 3;
    /**
     * The least relative latency that a failure counts as. Without it, a server that fails quickly would look fast and
     * get more attempts.
     */
    private static final double FAILURE_RELATIVE_LATENCY = 5;

    private static final double MAX_RELATIVE_LATENCY = 2 * FAILURE_RELATIVE_LATENCY;
    /** Weight of a new sample in a server's relative latency. */
    private static final double SMOOTHING = 0.3;
    /** An ejected server that answered within this time may still be used. */
    private static final double RECENT_ANSWER_MS = 1000;
    /** The concurrency limit of a server that has just been ejected. */
    private static final int EJECTED_LIMIT = 1;

    private final EventContext context;
    private final LatencyEstimator latencies;
    private final Map<String, Double> zoneRelativeLatencies = new LinkedHashMap<>();
    /** Relative latency of the median server in this tick. */
    private double median;
    /** Relative latency of the best zone in this tick. */
    private double bestZone;

    OutlierDetector(EventContext context, LatencyEstimator latencies) {
        this.context = context;
        this.latencies = latencies;
    }

    static boolean isHealthy(Server server) {
        return server.state == Server.State.LIVE && !server.ejected;
    }

    /** Whether a server, ejected or not, has answered recently. */
    boolean hasAnsweredRecently(Server server) {
        return context.nowMs() - server.lastAnswerMs < RECENT_ANSWER_MS;
    }

    /** Resets the state of a server that has restarted; observations of the old process do not apply to the new one. */
    static void reset(Server server) {
        server.relativeLatency = 1;
        server.ejected = false;
    }

    /** Records that a server has answered, whatever the latency of the answer. */
    void recordSignOfLife(Attempt attempt) {
        Server server = attempt.server;
        server.lastAnswerMs = context.nowMs();
        server.lastAnsweredSentMs = Math.max(server.lastAnsweredSentMs, attempt.sentMs);
    }

    /** Records the outcome of an attempt; {@code relativeLatency} is its time divided by the mean latency. */
    void recordOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double relativeLatency) {
        Server server = attempt.server;
        double asFailure = Math.max(relativeLatency, FAILURE_RELATIVE_LATENCY);
        double noBetterThanBefore = Math.max(relativeLatency, server.relativeLatency);
        switch (outcome) {
            case ANSWERED -> recordRelativeLatency(server, relativeLatency);
            case CANCELLED -> {
                // By its answers alone, a server that loses half of its parts and answers the others quickly looks
                // healthy.
                boolean overdue = tookMs > latencies.overdueAfterMs(attempt.part);
                recordRelativeLatency(server, overdue ? asFailure : noBetterThanBefore);
            }
            case ERROR, RESET, TIMED_OUT -> recordRelativeLatency(server, asFailure);
            case MALFORMED -> {
                // A malformed answer ends all attempts on its connection; they count as one failure, not as many.
                boolean alreadyCounted = server.lastMalformedMs == context.nowMs();
                recordRelativeLatency(server, alreadyCounted ? noBetterThanBefore : asFailure);
            }
                // Each attempt at a machine that is down delays its part by up to the connect timeout.
            case CONNECT_FAILED -> server.relativeLatency = MAX_RELATIVE_LATENCY;
            default -> {}
        }
        server.lastMalformedMs = outcome == Attempt.Outcome.MALFORMED ? context.nowMs() : server.lastMalformedMs;
    }

    private void recordRelativeLatency(Server server, double relativeLatency) {
        double sample = Math.min(relativeLatency, MAX_RELATIVE_LATENCY);
        server.relativeLatency += (sample - server.relativeLatency) * SMOOTHING;
        zoneRelativeLatencies.merge(
                server.zone, sample, (before, latest) -> before + (latest - before) * LatencyEstimator.SMOOTHING);
    }

    /**
     * Returns the recorded relative latency; if that is greater, the time without an answer while an attempt was in
     * flight, divided by the expected latency.
     */
    private double currentRelativeLatency(Server server) {
        if (server.inFlight.isEmpty()) {
            return server.relativeLatency;
        }
        Attempt oldest = server.inFlight.iterator().next();
        double silentMs = context.nowMs() - Math.max(oldest.sentMs, server.lastAnswerMs);
        OpType op = oldest.part.multiget.opType;
        return Math.max(server.relativeLatency, silentMs / latencies.expectedLatencyMs(op));
    }

    /**
     * Starts a tick, in which {@link #updateEjection} is called for each live server. Servers are compared with the
     * median server, so that a slowdown of all servers ejects none of them. Zones are compared with the best zone, for
     * two reasons: a slow path to half of the servers would make the median slow too, and a zone has enough samples
     * even if each of its servers gets few attempts.
     */
    void beginTick(List<Server> live) {
        median = medianRelativeLatency(live);
        bestZone = zoneRelativeLatencies.values().stream()
                .mapToDouble(relativeLatency -> relativeLatency)
                .min()
                .orElse(1);
        zoneRelativeLatencies.replaceAll((zone, relativeLatency) ->
                relativeLatency + (1 - relativeLatency) * EventContext.TICK_INTERVAL_MS / ZONE_DECAY_MS);
    }

    /** Ejects or readmits a server. */
    void updateEjection(Server server) {
        boolean slowZone = zoneRelativeLatencies.getOrDefault(server.zone, 1.0) > EJECTION_RATIO * bestZone;
        boolean ejected = currentRelativeLatency(server) > EJECTION_RATIO * median || slowZone;
        if (ejected && !server.ejected) {
            server.concurrencyLimit = EJECTED_LIMIT;
        }
        server.ejected = ejected;
        server.relativeLatency += (1 - server.relativeLatency) * EventContext.TICK_INTERVAL_MS / DECAY_MS;
    }

    private double medianRelativeLatency(List<Server> live) {
        double[] sorted =
                live.stream().mapToDouble(this::currentRelativeLatency).sorted().toArray();
        return sorted.length == 0 ? 1 : Math.max(1, sorted[sorted.length / 2]);
    }

    /** Forgets the zones in which none of these servers is. */
    void retainZonesOf(Collection<Server> servers) {
        zoneRelativeLatencies.keySet().removeIf(zone -> servers.stream()
                .noneMatch(server -> Objects.equals(server.zone, zone)));
    }
}
