package spartrail.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import spartrail.model.Attempt;
import spartrail.model.Server;

/**
 * Applies the endpoint list to the server table, and decides when to request the list's changes.
 *
 * <p>Cost: each update visits all servers, and so does the removal of old servers once a tick.
 */
final class EndpointTracker {
    private static final double FIRST_POLL_SPREAD_MS = 200;
    private static final double FIRST_BACKOFF_MS = 300;
    private static final double MAX_BACKOFF_MS = 2400;
    /** The longest backoff, and the time between two polls, is the longest poll interval divided by this. */
    private static final double POLLS_PER_INTERVAL = 2;

    private final EventContext context;
    private final RandomGenerator random;
    private final ServerTable table;
    private final ConcurrencyLimiter limiter;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final ServerCrashGuard crashGuard;
    private boolean polled;
    private double maxPollIntervalMs = Double.MAX_VALUE;
    private double backoffMs = FIRST_BACKOFF_MS;
    private double nextPollMs = Double.MAX_VALUE;

    EndpointTracker(
            EventContext context,
            RandomGenerator random,
            ServerTable table,
            ConcurrencyLimiter limiter,
            OutlierDetector outliers,
            SlowStart slowStart,
            ServerCrashGuard crashGuard) {
        this.context = context;
        this.random = random;
        this.table = table;
        this.limiter = limiter;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.crashGuard = crashGuard;
    }

    /** See {@link Coordinator#configureEndpointPolling}. */
    void configurePolling(boolean enabled, double newMaxIntervalMs) {
        polled = enabled;
        maxPollIntervalMs = newMaxIntervalMs > 0 ? newMaxIntervalMs : Double.MAX_VALUE;
    }

    /**
     * See {@link Coordinator#onEndpointUpdate}; passes each attempt in flight at a server that is gone to {@code
     * onOverdue}.
     */
    void updateServers(List<Server> update, boolean complete, boolean fresh, Consumer<Attempt> onOverdue) {
        if (complete) {
            table.servers().forEach(server -> server.state = Server.State.GONE);
        }
        update.forEach(this::updateServer);
        table.assignReplicas();
        slowStart.updateServiceRates();
        if (fresh) {
            backoffMs = FIRST_BACKOFF_MS;
            nextPollMs = Double.MAX_VALUE;
        } else if (polled) {
            nextPollMs = context.nowMs() + random.nextDouble() * FIRST_POLL_SPREAD_MS;
        }
        for (Server server : table.servers()) {
            if (server.state == Server.State.GONE) {
                new ArrayList<>(server.inFlight).forEach(onOverdue);
            }
        }
    }

    private void updateServer(Server listed) {
        Server server = table.getOrCreate(listed.id);
        boolean isKnown = server.concurrencyLimit > 0;
        boolean restarted = listed.startedAtMs > server.startedAtMs;
        boolean hasEndedWithoutDraining =
                server.state == Server.State.LIVE && (listed.state == Server.State.GONE || restarted);
        if (isKnown && hasEndedWithoutDraining) {
            crashGuard.recordCrash();
        }
        server.zone = listed.zone;
        server.kind = listed.kind;
        server.cell = listed.cell;
        server.state = listed.state;
        server.weight = listed.weight;
        if (restarted || !isKnown) {
            server.startedAtMs = listed.startedAtMs;
            limiter.reset(server);
            OutlierDetector.reset(server);
            server.warmUpAttempts.clear();
        }
    }

    /**
     * Schedules another poll, with exponential backoff and jitter so that the nodes together don't overload a weak
     * discovery service.
     */
    void onDiscoveryUnavailable() {
        nextPollMs = context.nowMs() + backoffMs * (0.5 + random.nextDouble());
        backoffMs = Math.min(Math.min(MAX_BACKOFF_MS, maxPollIntervalMs / POLLS_PER_INTERVAL), 2 * backoffMs);
    }

    /**
     * Forgets servers that were removed long ago, so that memory stays bounded. A server that is listed again before
     * that keeps its state, including the attempts that count while it warms up.
     */
    void forgetRemovedServers() {
        for (Server server : table.servers()) {
            server.ticksSinceRemoval = server.state == Server.State.GONE ? server.ticksSinceRemoval + 1 : 0;
        }
        double retentionMs = Math.max(OutlierDetector.DECAY_MS, slowStart.collapseAfterMs());
        table.servers()
                .removeIf(server -> server.ticksSinceRemoval * EventContext.TICK_INTERVAL_MS > retentionMs
                        && server.inFlight.isEmpty());
        outliers.retainZonesOf(table.servers());
    }

    /** Requests the list's changes if the next poll is due. */
    void pollIfDue() {
        if (polled && context.nowMs() >= nextPollMs) {
            context.decisions().watchEndpoints = true;
            nextPollMs = context.nowMs() + maxPollIntervalMs / POLLS_PER_INTERVAL;
        }
    }
}
