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
 * Ejects servers whose answers, failures or silence are far behind those of the other servers.
 *
 * <p>A server's relative latency is the time of its answers over the mean latency of their op types. Failures count as slow
 * answers. The verdict decays, so that a server that has recovered is found by the first attempts of a low concurrency limit.
 * Cost: each tick walks all servers once and sorts their relative latencies.
 */
final class OutlierDetector {
    /** The time over which relative latencies decay to 1. */
    static final double DECAY_MS = 4000;
    /** Longer for zones, as all servers of a zone would be tried again at once. */
    private static final double ZONE_DECAY_MS = 12_000;
    /** A server this many times slower than the median server is ejected. */
    private static final double EJECTION_RATIO = 3;
    /** What a failure counts as: servers that fail quickly must not attract work. */
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
    /** Relative latencies of the median server and of the best zone in this tick. */
    private double median;

    private double bestZone;

    OutlierDetector(EventContext context, LatencyEstimator latencies) {
        this.context = context;
        this.latencies = latencies;
    }

    static boolean isHealthy(Server server) {
        return server.state == Server.State.LIVE && !server.ejected;
    }

    /** Ejected or not, it has answered lately. */
    boolean hasAnsweredRecently(Server server) {
        return context.nowMs() - server.lastAnswerMs < RECENT_ANSWER_MS;
    }

    /** A new process has the server's name: nothing that was seen of the old one holds. */
    static void reset(Server server) {
        server.relativeLatency = 1;
        server.ejected = false;
    }

    /** Notes that a server answers, whatever the answer's latency tells. */
    void recordSignOfLife(Attempt attempt) {
        Server server = attempt.server;
        server.lastAnswerMs = context.nowMs();
        server.lastAnsweredSentMs = Math.max(server.lastAnsweredSentMs, attempt.sentMs);
    }

    /** Takes the outcome of an attempt whose time was so many times the mean latency. */
    void recordOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double relativeLatency) {
        Server server = attempt.server;
        double asFailure = Math.max(relativeLatency, FAILURE_RELATIVE_LATENCY);
        double noBetterThanBefore = Math.max(relativeLatency, server.relativeLatency);
        switch (outcome) {
            case ANSWERED -> recordRelativeLatency(server, relativeLatency);
            case CANCELLED -> {
                // A server that loses half of its parts and answers the rest quickly looks healthy by its answers.
                boolean overdue = tookMs > latencies.overdueAfterMs(attempt.part);
                recordRelativeLatency(server, overdue ? asFailure : noBetterThanBefore);
            }
            case ERROR, RESET, TIMED_OUT -> recordRelativeLatency(server, asFailure);
            case MALFORMED -> {
                // One malformed answer ends all attempts on its connection, which would count as many failures.
                boolean alreadyCounted = server.lastMalformedMs == context.nowMs();
                recordRelativeLatency(server, alreadyCounted ? noBetterThanBefore : asFailure);
            }
                // Each attempt at a machine that is down costs its part the time that connecting may take.
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

    /** The recorded relative latency, or how long the oldest attempt waits where nothing was answered since. */
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
     * Starts a tick, in which {@link #updateEjection} is called for each live server. Servers are compared with the median one, as a
     * slowdown of all is no fault of some. Zones are compared with the best zone: a bad path to half of the servers would make its
     * slowness the median, and a zone has samples enough where each of its servers is seldom met.
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

    /** Forgets the zones that none of these servers is in. */
    void retainZonesOf(Collection<Server> servers) {
        zoneRelativeLatencies.keySet().removeIf(zone -> servers.stream()
                .noneMatch(server -> Objects.equals(server.zone, zone)));
    }
}
