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
 * The connections to all servers. The pool sends batches and reports the outcome of each part exactly once; the
 * coordinator decides where parts go and how long they may take. Runs on the I/O thread only. Cost: sending a batch is
 * linear in the connections to its server; closing idle connections, eight times per keep-alive time, and releasing a
 * hold are linear in all connections.
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
     * The settings of the pool.
     *
     * @param partsPerConnection the most parts in flight on a connection
     * @param keepAliveMs the idle time after which a server closes a connection
     * @param cancelling whether servers are notified of cancelled parts
     * @param graceMs the time after which nothing may be sent to a server that drains or is gone
     */
    public record Settings(
            int partsPerConnection, double connectTimeoutMs, double keepAliveMs, boolean cancelling, double graceMs) {}

    /** Creates a pool without connections. */
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
     * Applies changed settings. A connection is closed after it was idle for half of the keep-alive time, as a request
     * that crosses the server's own close is reset and may have run.
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

    /** Sends parts as one batch, on a connection with room for them; opens a connection only if none has room. */
    public void send(InetSocketAddress address, List<PartRequest> parts) {
        ShardConnection chosen = choose(address, parts.size());
        if (chosen == null) {
            chosen = new ShardConnection(this, address);
            connections.computeIfAbsent(address, at -> new ArrayList<>()).add(chosen);
        }
        chosen.enqueue(new PartBatch(parts));
    }

    /** Returns an open connection with room for so many parts, or null. */
    private ShardConnection choose(InetSocketAddress address, int parts) {
        for (ShardConnection connection : connectionsTo(address)) {
            if (connection.isIdleSince(idleLimitMs())) {
                // After a pause of the process this connection is overdue, and the server may be closing it now.
                connection.close(null);
            } else if (connection.hasCapacityFor(parts, settings.partsPerConnection()) && connection.isAlive()) {
                return connection;
            }
        }
        return null;
    }

    /** Holds frames back after an endpoint update was read, until the loop has applied it. */
    public void holdFrames() {
        gate.hold();
    }

    /** Releases frames after so many endpoint updates were applied and the addresses that they remove were retired. */
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

    /** Stops waiting for a part. It ends as not sent if its frame has not begun, otherwise with the given outcome. */
    public void withdraw(PartRequest part, Outcome outcomeIfBegun) {
        if (part.stage != PartRequest.Stage.ENDED) {
            boolean timedOut = outcomeIfBegun == Outcome.TIMED_OUT;
            boolean isUnsent = part.connection == null || part.connection.withdraw(part, timedOut);
            endPart(part, isUnsent ? Outcome.NOT_SENT : outcomeIfBegun, null);
        }
    }

    /** Withdraws a part only if its frame has not begun; otherwise the pool still waits for its response. */
    public void withdrawUnsent(PartRequest part) {
        if (part.stage == PartRequest.Stage.QUEUED) {
            withdraw(part, Outcome.NOT_SENT);
        }
    }

    /**
     * Stops sending to an address whose server drains, is gone or was restarted: parts whose frames have not begun end
     * as not sent, and the connections are drained.
     */
    public void retire(InetSocketAddress address) {
        connectionsTo(address).forEach(ShardConnection::dropQueued);
        connectionsTo(address).forEach(ShardConnection::drain);
    }

    /** A copy of the connections to an address, as connections that close are removed from the original. */
    private List<ShardConnection> connectionsTo(InetSocketAddress address) {
        return List.copyOf(connections.getOrDefault(address, List.of()));
    }

    private List<ShardConnection> allConnections() {
        return connections.values().stream().flatMap(List::stream).toList();
    }

    /** The number of connections that are open or being opened. */
    public int connectionCount() {
        return connections.values().stream().mapToInt(List::size).sum();
    }

    /** Closes all connections, which ends the parts in flight. */
    public void close() {
        idleTimer.remove();
        allConnections().forEach(connection -> connection.close(null));
    }

    /** Reports the outcome of a part, unless it has been reported before. */
    void endPart(PartRequest part, Outcome outcome, byte[] value) {
        if (part.stage == PartRequest.Stage.ENDED) {
            return;
        }
        part.stage = PartRequest.Stage.ENDED;
        listener.onAttemptEnded(part, outcome, value, clock.nowMs());
    }

    /** Reports that no response to an abandoned attempt of this part can arrive any more. */
    void ruleOutLateResponse(String partId) {
        listener.onLateResponseRuledOut(partId);
    }

    /** Removes a closed connection. */
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

    /** Logs at most one line per second, so that misbehaving servers cannot fill the log. */
    void logMalformedFrame(String text) {
        malformedFrames++;
        double nowMs = clock.nowMs();
        if (nowMs - malformedLoggedMs >= MALFORMED_LOG_INTERVAL_MS) {
            malformedLoggedMs = nowMs;
            log(System.Logger.Level.WARNING, text + " (" + malformedFrames + " malformed frames in all)");
        }
    }
}
