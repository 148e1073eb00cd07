package spartrail.shard;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import spartrail.model.Attempt.Outcome;
import spartrail.model.Invariants;
import spartrail.model.NodeClock;

/**
 * The connections to all servers. It carries calls and tells how each part ended, exactly once; where parts
 * go and how long they may take is decided elsewhere. All of it runs on the I/O thread.
 */
public final class ShardPool {
    /** Where the ends of parts are told, with the time at which it was seen and the value of an answer. */
    public interface AttemptListener {
        void onAttemptEnded(PartRequest part, Outcome outcome, byte[] value, double atMs);
    }

    private static final System.Logger LOG = System.getLogger("spartrail.shard");

    private static final double MALFORMED_LOG_INTERVAL_MS = 1000;
    /** Every time limit of the rules is longer by 50 ms on sockets; a frame goes by nothing older than this. */
    private static final double MIN_POLL_AGE_LIMIT_MS = 40;
    /** A process so slow that each look takes longer than that sends all the same after so many. */
    private static final int MAX_POLLS = 5;

    final XnioIoThread io;
    final NodeClock clock;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);
    Settings settings;
    private final AttemptListener listener;
    private final Invariants invariants;
    private final Map<InetSocketAddress, List<ShardConnection>> connections = new HashMap<>();
    private XnioExecutor.Key idleTimer;
    /** Lists that were read and not yet taken by those who decide. */
    private int pendingEndpointUpdates;
    /** When what waited in the sockets was last read. */
    private double lastPollMs = Double.NEGATIVE_INFINITY;

    private boolean polling;
    private long malformedFrames;
    private double malformedLoggedMs = Double.NEGATIVE_INFINITY;

    /** What it goes by of the settings; times in milliseconds. */
    public record Settings(
            int partsPerConnection, double connectTimeoutMs, double keepAliveMs, boolean cancelling, double graceMs) {}

    public ShardPool(
            XnioIoThread io, NodeClock clock, Settings settings, AttemptListener listener, Invariants invariants) {
        this.io = io;
        this.clock = clock;
        this.listener = listener;
        this.invariants = invariants;
        applySettings(settings);
    }

    /**
     * It goes by these from now on. A server closes a connection unused for the keep-alive time; ours go at half of it.
     * Danger: a request that crosses the server's own close is reset and may have run.
     */
    public void applySettings(Settings changed) {
        settings = changed;
        if (idleTimer != null) {
            idleTimer.remove();
        }
        idleTimer = io.executeAtInterval(
                () -> closeIdleBefore(clock.nowMs() - settings.keepAliveMs() / 2),
                Math.max(1, Math.round(settings.keepAliveMs() / 8)),
                TimeUnit.MILLISECONDS);
    }

    /** How old what is known of the sockets may be where a frame begins: nothing is sent to a server that drains after the grace. */
    private double pollAgeLimitMs() {
        return Math.max(MIN_POLL_AGE_LIMIT_MS, settings.graceMs() / 2);
    }

    /** Sends parts as one call, on a connection that has room for them, opened only if none has. */
    public void send(InetSocketAddress address, List<PartRequest> parts) {
        ShardConnection chosen = null;
        for (ShardConnection connection : connectionsTo(address)) {
            if (connection.isIdleSince(clock.nowMs() - settings.keepAliveMs() / 2)) {
                // Danger: a process that stood still has not closed it in time, and the server does so now.
                connection.close(null);
            } else if (connection.hasCapacityFor(parts.size(), settings.partsPerConnection()) && connection.isAlive()) {
                chosen = connection;
                break;
            }
        }
        if (chosen == null) {
            chosen = new ShardConnection(this, address);
            connections.computeIfAbsent(address, at -> new ArrayList<>()).add(chosen);
        }
        chosen.enqueue(new PartBatch(parts));
    }

    /** A list was read: no frame begins until those who decide have taken it. */
    public void holdFrames() {
        pendingEndpointUpdates++;
    }

    /** So many lists have been taken, and what they end has been barred. */
    public void releaseFrames(int updates) {
        pendingEndpointUpdates -= updates;
        invariants.check(pendingEndpointUpdates >= 0, "no list is taken that was not read");
        writeAllConnections();
    }

    /** Whether a frame of this call may begin now. */
    boolean mayBeginFrame(PartBatch call) {
        return pendingEndpointUpdates == 0 && !isPollStale(call.decidedMs);
    }

    /**
     * Danger: a process that stood still goes on where it was, with a decision that is old, before it reads that the
     * server drains. Such a frame waits until all sockets have been looked at.
     */
    private boolean isPollStale(double decidedMs) {
        if (clock.nowMs() - Math.max(decidedMs, lastPollMs) <= pollAgeLimitMs()) {
            return false;
        }
        if (!polling) {
            polling = true;
            pollSockets(1);
        }
        return true;
    }

    /** The I/O thread reads what is ready between its timers; the first may still come before that, or a pause after it. */
    private void pollSockets(int attempt) {
        double fromMs = clock.nowMs();
        io.executeAfter(
                () -> {
                    boolean paused = clock.nowMs() - fromMs > pollAgeLimitMs();
                    if (attempt == 1 || paused && attempt < MAX_POLLS) {
                        pollSockets(attempt + 1);
                    } else {
                        polling = false;
                        lastPollMs = paused ? clock.nowMs() : fromMs;
                        writeAllConnections();
                    }
                },
                1,
                TimeUnit.MILLISECONDS);
    }

    private void writeAllConnections() {
        connections.values().stream().flatMap(List::stream).toList().forEach(ShardConnection::write);
    }

    /** Nothing more of this part is waited for; the outcome holds if its frame has begun to leave. */
    public void withdraw(PartRequest part, Outcome outcomeIfBegun) {
        if (part.stage != PartRequest.Stage.ENDED) {
            boolean neverLeft =
                    part.connection == null || part.connection.withdraw(part, outcomeIfBegun == Outcome.TIMED_OUT);
            endPart(part, neverLeft ? Outcome.NOT_SENT : outcomeIfBegun, null);
        }
    }

    /** This part is not sent if its frame has not begun to leave; otherwise its answer is still waited for. */
    public void withdrawUnsent(PartRequest part) {
        if (part.stage == PartRequest.Stage.QUEUED) {
            withdraw(part, Outcome.NOT_SENT);
        }
    }

    /** The server drains, is gone, or is another process: what has not begun to leave for it does not leave any more. */
    public void retire(InetSocketAddress address) {
        connectionsTo(address).forEach(ShardConnection::dropQueued);
        connectionsTo(address).forEach(ShardConnection::drain);
    }

    /** A copy, as connections that end leave their list. */
    private List<ShardConnection> connectionsTo(InetSocketAddress address) {
        return List.copyOf(connections.getOrDefault(address, List.of()));
    }

    public int connectionCount() {
        return connections.values().stream().mapToInt(List::size).sum();
    }

    public void close() {
        idleTimer.remove();
        connections.values().stream().flatMap(List::stream).toList().forEach(connection -> connection.close(null));
    }

    void endPart(PartRequest part, Outcome outcome, byte[] value) {
        if (part.stage == PartRequest.Stage.ENDED) {
            return;
        }
        part.stage = PartRequest.Stage.ENDED;
        listener.onAttemptEnded(part, outcome, value, clock.nowMs());
    }

    void remove(InetSocketAddress address, ShardConnection connection) {
        List<ShardConnection> open = connections.get(address);
        if (invariants.check(open != null && open.remove(connection), "a connection is in its pool")
                && open.isEmpty()) {
            connections.remove(address);
        }
    }

    private void closeIdleBefore(double beforeMs) {
        connections.values().stream()
                .flatMap(List::stream)
                .filter(connection -> connection.isIdleSince(beforeMs))
                .toList()
                .forEach(connection -> connection.close(null));
    }

    void log(System.Logger.Level level, String text) {
        LOG.log(level, text);
    }

    /** Danger: a log that grows with what bad servers send; one line a second says enough. */
    void logMalformedFrame(String text) {
        malformedFrames++;
        double nowMs = clock.nowMs();
        if (nowMs - malformedLoggedMs >= MALFORMED_LOG_INTERVAL_MS) {
            malformedLoggedMs = nowMs;
            log(System.Logger.Level.WARNING, text + " (" + malformedFrames + " in all)");
        }
    }
}
