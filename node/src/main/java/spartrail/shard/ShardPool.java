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
import spartrail.model.Invariants;
import spartrail.model.NodeClock;
import spartrail.model.Send.Outcome;

/**
 * The connections to all servers. It carries calls and tells how each part ended, exactly once; where parts
 * go and how long they may take is decided elsewhere. All of it runs on the I/O thread.
 */
public final class ShardPool {
    /** Where the ends of parts are told, with the time at which it was seen and the value of an answer. */
    public interface Ends {
        void ended(PartRequest part, Outcome outcome, byte[] value, double atMs);
    }

    private static final System.Logger LOG = System.getLogger("spartrail.shard");

    private static final double LOG_EVERY_MS = 1000;

    final XnioIoThread io;
    final NodeClock clock;
    final double connectTimeoutMs;
    final boolean cancelling;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);
    final int partsPerConnection;
    private final Ends ends;
    private final Invariants invariants;
    private final Map<InetSocketAddress, List<ShardConnection>> connections = new HashMap<>();
    private final XnioExecutor.Key idleTimer;
    private long garbled;
    private double garbledLoggedMs = Double.NEGATIVE_INFINITY;

    /** A server closes a connection unused for the keep-alive time; ours go at half of it. */
    public ShardPool(XnioIoThread io, NodeClock clock, int partsPerConnection, double connectTimeoutMs,
            double keepAliveMs, boolean cancelling, Ends ends, Invariants invariants) {
        this.io = io;
        this.clock = clock;
        this.partsPerConnection = partsPerConnection;
        this.connectTimeoutMs = connectTimeoutMs;
        this.cancelling = cancelling;
        this.ends = ends;
        this.invariants = invariants;
        // Danger: a request that crosses the server's own close is reset and may have run.
        idleTimer = io.executeAtInterval(() -> closeIdle(clock.nowMs() - keepAliveMs / 2),
                Math.max(1, Math.round(keepAliveMs / 8)), TimeUnit.MILLISECONDS);
    }

    /** Sends parts as one call, on a connection that has room for them, opened only if none has. */
    public void send(InetSocketAddress address, List<PartRequest> parts) {
        List<ShardConnection> open = connections.computeIfAbsent(address, at -> new ArrayList<>());
        ShardConnection best = null;
        for (ShardConnection connection : open) {
            if (connection.takes(parts.size(), partsPerConnection)) {
                best = connection;
                break;
            }
        }
        if (best == null) {
            best = new ShardConnection(this, address);
            open.add(best);
        }
        best.send(new ShardCall(parts));
    }

    /** Nothing more of this part is waited for; the outcome holds if its frame has begun to leave. */
    public void withdraw(PartRequest part, Outcome ifBegun) {
        if (part.stage != PartRequest.Stage.ENDED) {
            boolean neverLeft = part.connection == null || part.connection.withdraw(part, ifBegun == Outcome.TIMED_OUT);
            ended(part, neverLeft ? Outcome.NOT_SENT : ifBegun, null);
        }
    }

    /** This part is not sent if its frame has not begun to leave; otherwise its answer is still waited for. */
    public void withdrawUnsent(PartRequest part) {
        if (part.stage == PartRequest.Stage.WAITING) {
            withdraw(part, Outcome.NOT_SENT);
        }
    }

    /** The server drains or is gone: what has not begun to leave for it does not leave, and nothing further will. */
    public void bar(InetSocketAddress address) {
        to(address).forEach(ShardConnection::dropWaiting);
        renew(address);
    }

    /** The process there is another one: what leads to the old one gets no further calls. */
    public void renew(InetSocketAddress address) {
        to(address).forEach(ShardConnection::retire);
    }

    /** A copy, as connections that end leave their list. */
    private List<ShardConnection> to(InetSocketAddress address) {
        return List.copyOf(connections.getOrDefault(address, List.of()));
    }

    public int size() {
        return connections.values().stream().mapToInt(List::size).sum();
    }

    public void close() {
        idleTimer.remove();
        connections.values().stream().flatMap(List::stream).toList().forEach(connection -> connection.end(null));
    }

    void ended(PartRequest part, Outcome outcome, byte[] value) {
        if (part.stage == PartRequest.Stage.ENDED) {
            return;
        }
        part.stage = PartRequest.Stage.ENDED;
        ends.ended(part, outcome, value, clock.nowMs());
    }

    void forget(InetSocketAddress address, ShardConnection connection) {
        List<ShardConnection> open = connections.get(address);
        if (invariants.holds(open != null && open.remove(connection), "a connection is in its pool")
                && open.isEmpty()) {
            connections.remove(address);
        }
    }

    private void closeIdle(double beforeMs) {
        connections.values().stream().flatMap(List::stream).filter(connection -> connection.idleSince(beforeMs))
                .toList().forEach(connection -> connection.end(null));
    }

    void log(System.Logger.Level level, String text) {
        LOG.log(level, text);
    }

    /** Danger: a log that grows with what bad servers send; one line a second says enough. */
    void garbled(String text) {
        garbled++;
        double nowMs = clock.nowMs();
        if (nowMs - garbledLoggedMs >= LOG_EVERY_MS) {
            garbledLoggedMs = nowMs;
            log(System.Logger.Level.WARNING, text + " (" + garbled + " in all)");
        }
    }
}
