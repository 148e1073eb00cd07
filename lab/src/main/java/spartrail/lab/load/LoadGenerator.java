package spartrail.lab.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.ClientSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.plan.TrafficStream;
import spartrail.model.TimerQueue;

/**
 * Load, open loop: arrivals leave when the plan says, whatever became of the ones before. No I/O: the host hands in the
 * time and what its sockets saw, and carries out what is asked of {@link ClientTransport}.
 *
 * <p>A try goes through these states; each ends in exactly one {@link AttemptResult}.
 *
 * <pre>
 * state    what happens                                 next
 * due      an idle connection, or room for a new one    sent, or connecting
 * due      the cap binds                                waiting, all of it charged
 * waiting  a connection becomes free                    sent
 * waiting  the client's time is over                    ended (NOT_SENT)
 * sent     an answer                                    ended, its connection idle
 * sent     the connection closes without a byte, used before, at once    sent once more on a new one
 * sent     the client's time is over                    lapsed: its client goes on, the answer is still looked for
 * sent     the client leaves                            ended (LEFT), its connection closed
 * lapsed   an answer                                    ended (LATE)
 * lapsed   nothing for a while                          ended (NONE), its connection closed
 * </pre>
 *
 * Latency is counted from the time at which the try was meant to leave, service time from its last byte written.
 */
public final class LoadGenerator {
    /** A connection that closes this soon after a request was written on it may not have been read. */
    private static final double CROSSED_MS = 50;

    private final LoadPlan plan;
    private final Iterator<Arrival> arrivals;
    private final ClientTransport sockets;
    private final Recorder recorder;
    private final LoadListener listener;
    private final TimerQueue timetable = new TimerQueue();
    private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();
    private final Map<String, Deque<ClientAttempt>> waiting = new HashMap<>();
    private final Set<ClientConnection> conns = new HashSet<>();
    private final Set<LoadPlan.Target> down = new HashSet<>();
    private final Set<ClientAttempt> open = new HashSet<>();
    private final ResponseCheck check = new ResponseCheck();
    private Arrival next;
    private double startMs;
    private double nowMs;
    private long turn;
    private int storiesWaiting;
    private boolean stopping;
    private String fault;

    public LoadGenerator(
            LoadPlan plan,
            Iterator<Arrival> arrivals,
            ClientTransport sockets,
            Recorder recorder,
            LoadListener listener) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.sockets = sockets;
        this.recorder = recorder;
        this.listener = listener;
    }

    /** The plan's time begins now. */
    public void start(double atMs) {
        startMs = atMs;
        nowMs = atMs;
        recorder.start(atMs);
        advance();
    }

    private void advance() {
        next = !stopping && arrivals.hasNext() ? arrivals.next() : null;
    }

    /** When the host is to call {@link #run} at the latest. */
    public double nextMs() {
        return Math.min(timetable.nextDueMs(), next == null ? Double.MAX_VALUE : startMs + next.atMs());
    }

    /** Nothing is to come and nothing is out. */
    public boolean over() {
        return next == null && open.isEmpty() && storiesWaiting == 0;
    }

    public int inFlight() {
        return open.size();
    }

    public int connections() {
        return conns.size();
    }

    /** Why the run was ended before its plan was through, or null. */
    public String fault() {
        return fault;
    }

    /** No further arrival and no further try; what is out is still waited for. */
    public void stop(String why) {
        if (!stopping) {
            stopping = true;
            fault = why;
            next = null;
        }
    }

    public void run(double atMs) {
        nowMs = atMs;
        while (next != null && startMs + next.atMs() <= nowMs) {
            Arrival arrival = next;
            advance();
            double intendedMs = startMs + arrival.atMs();
            ClientSession story =
                    new ClientSession(arrival.stream().behavior, TrafficStream.random(arrival.seed() + 1));
            begin(new ClientAttempt(arrival, story, 1, intendedMs, intendedMs));
        }
        timetable.runDue(nowMs);
    }

    /** A front node says that it is ready, or is not. */
    public void up(LoadPlan.Target target, boolean isUp) {
        if (isUp) {
            down.remove(target);
        } else {
            down.add(target);
        }
    }

    private void begin(ClientAttempt ask) {
        open.add(ask);
        ask.lagMs = nowMs - ask.intendedMs;
        recorder.intended(ask);
        double leavesMs = ask.story.beginAttempt(ask.arrival.timeoutMs());
        if (Double.isFinite(leavesMs)) {
            ask.leave = timetable.schedule(ask.intendedMs + leavesMs, () -> end(ask, AttemptResult.LEFT, null, true));
        }
        ask.end = timetable.schedule(ask.intendedMs + ask.arrival.timeoutMs(), () -> lapse(ask));
        place(ask, ask.arrival.newConnection() || ask.arrival.stream().behavior.ownConnection());
    }

    private void place(ClientAttempt ask, boolean own) {
        String zone = ask.arrival.stream().zone;
        Deque<ClientConnection> free = idle.computeIfAbsent(zone, name -> new ArrayDeque<>());
        if (!own && !free.isEmpty()) {
            send(free.pollLast(), ask);
            return;
        }
        if (conns.size() >= plan.connections()) {
            // One that is idle for another zone makes room.
            Deque<ClientConnection> other = idle.values().stream()
                    .filter(queue -> !queue.isEmpty())
                    .findFirst()
                    .orElse(null);
            if (other == null) {
                recorder.capBound++;
                waiting.computeIfAbsent(zone, name -> new ArrayDeque<>()).add(ask);
                return;
            }
            drop(other.pollFirst());
        }
        open(ask, own);
    }

    private void open(ClientAttempt ask, boolean own) {
        ClientConnection conn = new ClientConnection(target(ask.arrival.stream().zone), own);
        conn.ask = ask;
        ask.conn = conn;
        ask.target = conn.target;
        conns.add(conn);
        recorder.opened++;
        try {
            sockets.open(conn);
            timetable.schedule(nowMs + plan.connectMs(), () -> {
                if (!conn.up && !conn.gone) {
                    drop(conn);
                    if (conn.ask != null) {
                        end(conn.ask, AttemptResult.NO_CONNECTION, null, false);
                    }
                }
            });
        } catch (IllegalStateException e) {
            conns.remove(conn);
            conn.gone = true;
            recorder.noSocket++;
            stop("no socket is to be had with " + conns.size() + " open: " + e.getMessage());
            end(ask, AttemptResult.NO_CONNECTION, null, false);
        }
    }

    /** Front nodes in turn, none where the plan names none: ready ones of the client's zone first, then ready ones, then any. */
    private LoadPlan.Target target(String zone) {
        List<LoadPlan.Target> fit = new ArrayList<>();
        for (LoadPlan.Target target : plan.targets()) {
            if (!down.contains(target) && (zone.isEmpty() || target.zone().equals(zone))) {
                fit.add(target);
            }
        }
        if (fit.isEmpty()) {
            plan.targets().stream().filter(target -> !down.contains(target)).forEach(fit::add);
        }
        if (fit.isEmpty()) {
            fit = plan.targets();
        }
        return fit.isEmpty() ? null : fit.get((int) (turn++ % fit.size()));
    }

    private void send(ClientConnection conn, ClientAttempt ask) {
        conn.ask = ask;
        ask.conn = conn;
        ask.target = conn.target;
        ask.sentMs = nowMs;
        // Before the call below, as on sockets its parts can reach servers before that call returns.
        listener.onSent(ask, nowMs);
        sockets.send(conn, ask, ask.leftMs(nowMs));
    }

    // ---- What the host's sockets saw ----

    public void connected(ClientConnection conn, double atMs) {
        nowMs = atMs;
        conn.up = true;
        if (conn.gone) {
            return;
        }
        if (conn.ask == null) {
            free(conn);
        } else {
            send(conn, conn.ask);
        }
    }

    /** The last byte of its request has been handed to the system. */
    public void written(ClientConnection conn, double atMs) {
        ClientAttempt ask = conn.ask;
        if (ask != null && Double.isNaN(ask.writtenMs)) {
            ask.writtenMs = atMs;
            recorder.lag(ask.lagMs + atMs - ask.sentMs);
        }
    }

    public void answered(ClientConnection conn, HttpResponse answer, double atMs) {
        nowMs = atMs;
        ClientAttempt ask = conn.ask;
        if (ask == null) {
            extra(conn, atMs);
            return;
        }
        conn.used = true;
        AttemptResult kind = answer.lengthless() ? AttemptResult.NO_LENGTH : check.kind(ask, answer);
        boolean lasts = answer.lasts() && !answer.lengthless() && !conn.own;
        if (!lasts) {
            drop(conn);
        }
        end(ask, ask.lapsed ? AttemptResult.LATE : kind, answer, false);
        if (lasts && !conn.gone) {
            conn.ask = null;
            free(conn);
        }
    }

    /** What came is not an answer, or no whole one. */
    public void spoilt(ClientConnection conn, AttemptResult kind, double atMs) {
        nowMs = atMs;
        drop(conn);
        if (conn.ask != null) {
            end(conn.ask, conn.ask.lapsed ? AttemptResult.NONE : kind, null, false);
        }
    }

    /** Bytes where no answer was owed: an answer was given twice, say. */
    public void extra(ClientConnection conn, double atMs) {
        nowMs = atMs;
        recorder.twice++;
        listener.onUnexpectedBytes(atMs);
        drop(conn);
    }

    /** The other side ended it, or it never came up. */
    public void broken(ClientConnection conn, boolean answerBegun, double atMs) {
        nowMs = atMs;
        ClientAttempt ask = conn.ask;
        drop(conn);
        if (ask == null) {
            recorder.closedIdle++;
        } else if (!conn.up) {
            end(ask, AttemptResult.NO_CONNECTION, null, false);
        } else if (answerBegun) {
            end(ask, ask.lapsed ? AttemptResult.NONE : AttemptResult.CUT, null, false);
        } else if (conn.used && !ask.resent && !ask.lapsed && atMs - ask.sentMs < CROSSED_MS && !stopping) {
            // It crossed a close: the front node may end an unused connection at any time.
            ask.resent = true;
            recorder.resent++;
            ask.conn = null;
            open(ask, conn.own);
        } else {
            end(ask, ask.lapsed ? AttemptResult.NONE : AttemptResult.CLOSED, null, false);
        }
    }

    // ---- Ends ----

    private void drop(ClientConnection conn) {
        if (!conn.gone) {
            conn.gone = true;
            conns.remove(conn);
            idle.values().forEach(queue -> queue.remove(conn));
            sockets.close(conn);
            admit();
        }
    }

    private void free(ClientConnection conn) {
        for (Map.Entry<String, Deque<ClientAttempt>> entry : waiting.entrySet()) {
            if (fits(entry.getKey(), conn)) {
                ClientAttempt ask = entry.getValue().poll();
                if (ask != null) {
                    send(conn, ask);
                    return;
                }
            }
        }
        idle.computeIfAbsent(zoneOf(conn), name -> new ArrayDeque<>()).add(conn);
    }

    private boolean fits(String zone, ClientConnection conn) {
        return zone.isEmpty() || conn.target != null && zone.equals(conn.target.zone());
    }

    private String zoneOf(ClientConnection conn) {
        boolean zoned = conn.target != null
                && plan.streams().stream().anyMatch(stream -> stream.zone.equals(conn.target.zone()));
        return zoned ? conn.target.zone() : "";
    }

    /** A connection less: whoever waits for the cap may open one. */
    private void admit() {
        if (conns.size() < plan.connections() && !stopping) {
            for (Deque<ClientAttempt> queue : waiting.values()) {
                ClientAttempt ask = queue.poll();
                if (ask != null) {
                    open(
                            ask,
                            ask.arrival.newConnection()
                                    || ask.arrival.stream().behavior.ownConnection());
                    return;
                }
            }
        }
    }

    /** The client's time is over: it goes on, but what still comes is looked at. */
    private void lapse(ClientAttempt ask) {
        ask.end = null;
        if (ask.leave != null) {
            timetable.cancel(ask.leave);
        }
        if (Double.isNaN(ask.sentMs)) {
            ClientConnection conn = ask.conn;
            if (conn == null) {
                waiting.values().forEach(queue -> queue.remove(ask));
                end(ask, AttemptResult.NOT_SENT, null, false);
            } else {
                drop(conn);
                end(ask, AttemptResult.NO_CONNECTION, null, false);
            }
            return;
        }
        ask.lapsed = true;
        again(ask, 0);
        ask.end = timetable.schedule(nowMs + plan.lingerMs(), () -> end(ask, AttemptResult.NONE, null, true));
    }

    private void end(ClientAttempt ask, AttemptResult kind, HttpResponse answer, boolean leaves) {
        if (ask.over) {
            return;
        }
        ask.over = true;
        open.remove(ask);
        if (ask.end != null) {
            timetable.cancel(ask.end);
        }
        if (ask.leave != null) {
            timetable.cancel(ask.leave);
        }
        ClientConnection conn = ask.conn;
        if (conn == null) {
            waiting.values().forEach(queue -> queue.remove(ask));
        } else if (conn.ask == ask) {
            conn.ask = null;
            if (leaves) {
                drop(conn);
            }
        }
        recorder.ended(ask, kind, nowMs);
        listener.onEnded(ask, kind, answer, nowMs);
        if (!ask.lapsed) {
            if (kind.served() || kind == AttemptResult.LEFT) {
                recorder.story(ask, kind.served(), nowMs);
            } else {
                again(ask, answer == null ? 0 : answer.comebackMs());
            }
        }
    }

    private void again(ClientAttempt ask, double comebackMs) {
        double waitMs = stopping ? -1 : ask.story.pauseAfterFailureMs(comebackMs);
        if (waitMs < 0) {
            recorder.story(ask, false, nowMs);
            return;
        }
        storiesWaiting++;
        double dueMs = nowMs + waitMs;
        timetable.schedule(dueMs, () -> {
            storiesWaiting--;
            if (stopping) {
                recorder.story(ask, false, nowMs);
            } else {
                begin(new ClientAttempt(ask.arrival, ask.story, ask.tryNumber + 1, dueMs, ask.storyMs));
            }
        });
    }
}
