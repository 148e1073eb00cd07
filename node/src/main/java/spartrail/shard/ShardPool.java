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
    public interface Ends {
        void ended(PartRequest part, Outcome outcome, byte[] value, double atMs);
    }

    private static final System.Logger LOG = System.getLogger("spartrail.shard");

    private static final double LOG_EVERY_MS = 1000;
    /** Every time limit of the rules is longer by 50 ms on sockets; a frame goes by nothing older than this. */
    private static final double LEAST_BLIND_MS = 40;
    /** A process so slow that each look takes longer than that sends all the same after so many. */
    private static final int MOST_LOOKS = 5;

    final XnioIoThread io;
    final NodeClock clock;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);
    Bounds bounds;
    private final Ends ends;
    private final Invariants invariants;
    private final Map<InetSocketAddress, List<ShardConnection>> connections = new HashMap<>();
    private XnioExecutor.Key idleTimer;
    /** Lists that were read and not yet taken by those who decide. */
    private int held;
    /** When what waited in the sockets was last read. */
    private double lookedMs = Double.NEGATIVE_INFINITY;

    private boolean looking;
    private long garbled;
    private double garbledLoggedMs = Double.NEGATIVE_INFINITY;

    /** What it goes by of the settings; times in milliseconds. */
    public record Bounds(
            int partsPerConnection, double connectTimeoutMs, double keepAliveMs, boolean cancelling, double graceMs) {}

    public ShardPool(XnioIoThread io, NodeClock clock, Bounds bounds, Ends ends, Invariants invariants) {
        this.io = io;
        this.clock = clock;
        this.ends = ends;
        this.invariants = invariants;
        renew(bounds);
    }

    /**
     * It goes by these from now on. A server closes a connection unused for the keep-alive time; ours go at half of it.
     * Danger: a request that crosses the server's own close is reset and may have run.
     */
    public void renew(Bounds stated) {
        bounds = stated;
        if (idleTimer != null) {
            idleTimer.remove();
        }
        idleTimer = io.executeAtInterval(
                () -> closeIdle(clock.nowMs() - bounds.keepAliveMs() / 2),
                Math.max(1, Math.round(bounds.keepAliveMs() / 8)),
                TimeUnit.MILLISECONDS);
    }

    /** How old what is known of the sockets may be where a frame begins: nothing is sent to a server that drains after the grace. */
    private double mostBlindMs() {
        return Math.max(LEAST_BLIND_MS, bounds.graceMs() / 2);
    }

    /** Sends parts as one call, on a connection that has room for them, opened only if none has. */
    public void send(InetSocketAddress address, List<PartRequest> parts) {
        ShardConnection best = null;
        for (ShardConnection connection : to(address)) {
            if (connection.idleSince(clock.nowMs() - bounds.keepAliveMs() / 2)) {
                // Danger: a process that stood still has not closed it in time, and the server does so now.
                connection.end(null);
            } else if (connection.takes(parts.size(), bounds.partsPerConnection()) && connection.alive()) {
                best = connection;
                break;
            }
        }
        if (best == null) {
            best = new ShardConnection(this, address);
            connections.computeIfAbsent(address, at -> new ArrayList<>()).add(best);
        }
        best.send(new PartBatch(parts));
    }

    /** A list was read: no frame begins until those who decide have taken it. */
    public void hold() {
        held++;
    }

    /** So many lists have been taken, and what they end has been barred. */
    public void go(int lists) {
        held -= lists;
        invariants.check(held >= 0, "no list is taken that was not read");
        writeAll();
    }

    /** Whether a frame of this call may begin now. */
    boolean mayBegin(PartBatch call) {
        return held == 0 && !blind(call.decidedMs);
    }

    /**
     * Danger: a process that stood still goes on where it was, with a decision that is old, before it reads that the
     * server drains. Such a frame waits until all sockets have been looked at.
     */
    private boolean blind(double decidedMs) {
        if (clock.nowMs() - Math.max(decidedMs, lookedMs) <= mostBlindMs()) {
            return false;
        }
        if (!looking) {
            looking = true;
            look(1);
        }
        return true;
    }

    /** The I/O thread reads what is ready between its timers; the first may still come before that, or a pause after it. */
    private void look(int number) {
        double fromMs = clock.nowMs();
        io.executeAfter(
                () -> {
                    boolean paused = clock.nowMs() - fromMs > mostBlindMs();
                    if (number == 1 || paused && number < MOST_LOOKS) {
                        look(number + 1);
                    } else {
                        looking = false;
                        lookedMs = paused ? clock.nowMs() : fromMs;
                        writeAll();
                    }
                },
                1,
                TimeUnit.MILLISECONDS);
    }

    private void writeAll() {
        connections.values().stream().flatMap(List::stream).toList().forEach(ShardConnection::write);
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

    /** The server drains, is gone, or is another process: what has not begun to leave for it does not leave any more. */
    public void bar(InetSocketAddress address) {
        to(address).forEach(ShardConnection::dropWaiting);
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
        if (invariants.check(open != null && open.remove(connection), "a connection is in its pool")
                && open.isEmpty()) {
            connections.remove(address);
        }
    }

    private void closeIdle(double beforeMs) {
        connections.values().stream()
                .flatMap(List::stream)
                .filter(connection -> connection.idleSince(beforeMs))
                .toList()
                .forEach(connection -> connection.end(null));
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
