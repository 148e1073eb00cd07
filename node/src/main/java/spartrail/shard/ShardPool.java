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
 * The connections to all servers. It carries batches and reports how each part ended, exactly once; where parts go and how long they may
 * take is decided elsewhere. All of it runs on the I/O thread. Cost: a batch goes over the connections to its server; closing idle
 * connections, eight times in the keep-alive time, and a released hold go over all of them.
 */
public final class ShardPool {
    private static final System.Logger LOG = System.getLogger("spartrail.shard");

    private static final double MALFORMED_LOG_INTERVAL_MS = 1000;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    final XnioIoThread io;
    final NodeClock clock;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    Settings settings;
    private final AttemptListener listener;
    private final Invariants invariants;
    private final FrameGate gate;
    private final Map<InetSocketAddress, List<ShardConnection>> connections = new HashMap<>();
    private XnioExecutor.Key idleTimer;
    private long malformedFrames;
    private double malformedLoggedMs = Double.NEGATIVE_INFINITY;

    /**
     * What it goes by of the settings; times in milliseconds.
     *
     * @param partsPerConnection most parts in flight on a connection
     * @param keepAliveMs a server closes a connection that is idle for so long
     * @param cancelling whether servers are notified of parts that are not waited for any more
     * @param graceMs within this time sends to a server that drains or is gone must cease
     */
    public record Settings(
            int partsPerConnection, double connectTimeoutMs, double keepAliveMs, boolean cancelling, double graceMs) {}

    /** A pool without connections. */
    public ShardPool(
            XnioIoThread io, NodeClock clock, Settings settings, AttemptListener listener, Invariants invariants) {
        this.io = io;
        this.clock = clock;
        this.listener = listener;
        this.invariants = invariants;
        this.gate = new FrameGate(io, clock, invariants, this::writeAllConnections);
        applySettings(settings);
    }

    /**
     * Goes by these settings from now on. Connections are closed when they have been idle for half of the keep-alive time: a request that
     * crosses the server's own close is reset and may have run.
     */
    public void applySettings(Settings changed) {
        settings = changed;
        gate.setGrace(changed.graceMs());
        if (idleTimer != null) {
            idleTimer.remove();
        }
        idleTimer = io.executeAtInterval(
                this::closeIdle, Math.max(1, Math.round(settings.keepAliveMs() / 8)), TimeUnit.MILLISECONDS);
    }

    private double idleLimitMs() {
        return clock.nowMs() - settings.keepAliveMs() / 2;
    }

    /** Sends parts as one batch, on a connection that has room for them, opened only if none has. */
    public void send(InetSocketAddress address, List<PartRequest> parts) {
        ShardConnection chosen = choose(address, parts.size());
        if (chosen == null) {
            chosen = new ShardConnection(this, address);
            connections.computeIfAbsent(address, at -> new ArrayList<>()).add(chosen);
        }
        chosen.enqueue(new PartBatch(parts));
    }

    /** An open connection that has room for so many parts, or null. */
    private ShardConnection choose(InetSocketAddress address, int parts) {
        for (ShardConnection connection : connectionsTo(address)) {
            if (connection.isIdleSince(idleLimitMs())) {
                // A process that was paused has not closed it in time, and the server does so now.
                connection.close(null);
            } else if (connection.hasCapacityFor(parts, settings.partsPerConnection()) && connection.isAlive()) {
                return connection;
            }
        }
        return null;
    }

    /** An endpoint update was read: no frame begins until the loop has applied it. */
    public void holdFrames() {
        gate.hold();
    }

    /** So many endpoint updates have been applied, and the addresses that they end are retired. */
    public void releaseFrames(int updates) {
        gate.release(updates);
    }

    /** Whether the frame of this batch may begin now. */
    boolean mayBeginFrame(PartBatch batch) {
        return gate.mayBegin(batch.decidedMs);
    }

    private void writeAllConnections() {
        allConnections().forEach(ShardConnection::write);
    }

    /** The part is not waited for any more; the outcome holds if its frame has begun to leave. */
    public void withdraw(PartRequest part, Outcome outcomeIfBegun) {
        if (part.stage != PartRequest.Stage.ENDED) {
            boolean timedOut = outcomeIfBegun == Outcome.TIMED_OUT;
            boolean neverLeft = part.connection == null || part.connection.withdraw(part, timedOut);
            endPart(part, neverLeft ? Outcome.NOT_SENT : outcomeIfBegun, null);
        }
    }

    /** This part is not sent if its frame has not begun to leave; otherwise its response is still waited for. */
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

    /** A copy, as connections that close leave their list. */
    private List<ShardConnection> connectionsTo(InetSocketAddress address) {
        return List.copyOf(connections.getOrDefault(address, List.of()));
    }

    private List<ShardConnection> allConnections() {
        return connections.values().stream().flatMap(List::stream).toList();
    }

    /** How many connections are open or being opened. */
    public int connectionCount() {
        return connections.values().stream().mapToInt(List::size).sum();
    }

    /** Closes all connections; what is in flight ends by that. */
    public void close() {
        idleTimer.remove();
        allConnections().forEach(connection -> connection.close(null));
    }

    /** Reports how a part ended, the first time. */
    void endPart(PartRequest part, Outcome outcome, byte[] value) {
        if (part.stage == PartRequest.Stage.ENDED) {
            return;
        }
        part.stage = PartRequest.Stage.ENDED;
        listener.onAttemptEnded(part, outcome, value, clock.nowMs());
    }

    /** The connection is closed. */
    void remove(InetSocketAddress address, ShardConnection connection) {
        List<ShardConnection> open = connections.get(address);
        boolean wasOpen = open != null && open.remove(connection);
        if (invariants.check(wasOpen, "a connection is in its pool") && open.isEmpty()) {
            connections.remove(address);
        }
    }

    private void closeIdle() {
        double limitMs = idleLimitMs();
        for (ShardConnection connection : allConnections()) {
            if (connection.isIdleSince(limitMs)) {
                connection.close(null);
            }
        }
    }

    void log(System.Logger.Level level, String text) {
        LOG.log(level, text);
    }

    /** One line a second at most, so that the log does not grow with what bad servers send. */
    void logMalformedFrame(String text) {
        malformedFrames++;
        double nowMs = clock.nowMs();
        if (nowMs - malformedLoggedMs >= MALFORMED_LOG_INTERVAL_MS) {
            malformedLoggedMs = nowMs;
            log(System.Logger.Level.WARNING, text + " (" + malformedFrames + " in all)");
        }
    }
}
