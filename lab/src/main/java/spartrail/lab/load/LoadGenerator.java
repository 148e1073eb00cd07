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
 * An open-loop load generator: arrivals are sent when the plan says, whatever became of earlier ones. It does no I/O: a
 * {@link ClientTransport} passes in the time and the events of its sockets, and carries out the generator's calls.
 *
 * <p>An attempt goes through these states; each ends in exactly one {@link AttemptResult}.
 *
 * <pre>
 * state     event                                               next
 * due       a connection is idle, or a new one is allowed       sent, or connecting and then sent
 * due       the maximum of connections is in use                waiting; the wait counts as latency
 * waiting   a connection becomes free                           sent
 * waiting   the client's timeout                                ended (NOT_SENT)
 * sent      an answer                                           ended, its connection idle
 * sent      a reused connection closes early, without a byte    sent once more on a new connection
 * sent      the client's timeout                                timed out: the client may retry, an answer is awaited
 * sent      the client abandons the attempt                     ended (LEFT), its connection closed
 * timed out an answer                                           ended (LATE)
 * timed out no answer within lingerMs                           ended (NONE), its connection closed
 * </pre>
 *
 * Latency is measured from the intended time of the attempt, service time from its last byte written.
 */
public final class LoadGenerator {
    /** If a reused connection closes this soon after a request, the front node may not have read the request. */
    private static final double CLOSE_RACE_MS = 50;

    private final LoadPlan plan;
    private final Iterator<Arrival> arrivals;
    private final ClientTransport transport;
    private final Recorder recorder;
    private final LoadListener listener;
    private final TimerQueue timers = new TimerQueue();
    /** Idle connections by zone. */
    private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();
    /** Attempts that wait for a connection, by zone. */
    private final Map<String, Deque<ClientAttempt>> waiting = new HashMap<>();

    private final Set<ClientConnection> connections = new HashSet<>();
    private final Set<LoadPlan.Target> notReady = new HashSet<>();
    private final Set<ClientAttempt> openAttempts = new HashSet<>();
    private final ResponseCheck responseCheck = new ResponseCheck();
    private Arrival nextArrival;
    private double startMs;
    private double nowMs;
    private long targetTurn;
    private int pendingRetries;
    private boolean stopping;
    private String stopReason;

    public LoadGenerator(
            LoadPlan plan,
            Iterator<Arrival> arrivals,
            ClientTransport transport,
            Recorder recorder,
            LoadListener listener) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.transport = transport;
        this.recorder = recorder;
        this.listener = listener;
    }

    /** Starts the plan: its times count from {@code atMs}. */
    public void start(double atMs) {
        startMs = atMs;
        nowMs = atMs;
        recorder.start(atMs);
        drawNextArrival();
    }

    private void drawNextArrival() {
        nextArrival = !stopping && arrivals.hasNext() ? arrivals.next() : null;
    }

    /** The latest time of the next call of {@link #run}. */
    public double nextMs() {
        return Math.min(timers.nextDueMs(), nextArrival == null ? Double.MAX_VALUE : startMs + nextArrival.atMs());
    }

    /** Whether no arrival, open attempt or retry is left. */
    public boolean isOver() {
        return nextArrival == null && openAttempts.isEmpty() && pendingRetries == 0;
    }

    public int inFlight() {
        return openAttempts.size();
    }

    public int connections() {
        return connections.size();
    }

    /** Why the run was stopped before the end of its plan, or null. */
    public String stopReason() {
        return stopReason;
    }

    /** Stops new arrivals and retries; open attempts still run to their end. */
    public void stop(String reason) {
        if (!stopping) {
            stopping = true;
            stopReason = reason;
            nextArrival = null;
        }
    }

    /** Begins the attempts that are due and runs the timers. */
    public void run(double atMs) {
        nowMs = atMs;
        while (nextArrival != null && startMs + nextArrival.atMs() <= nowMs) {
            Arrival arrival = nextArrival;
            drawNextArrival();
            double intendedMs = startMs + arrival.atMs();
            ClientSession session =
                    new ClientSession(arrival.stream().behavior, TrafficStream.random(arrival.seed() + 1));
            beginAttempt(new ClientAttempt(arrival, session, 1, intendedMs, intendedMs));
        }
        timers.runDue(nowMs);
    }

    /** Sets whether a front node reports that it is ready. */
    public void setReady(LoadPlan.Target target, boolean isReady) {
        if (isReady) {
            notReady.remove(target);
        } else {
            notReady.add(target);
        }
    }

    private void beginAttempt(ClientAttempt attempt) {
        openAttempts.add(attempt);
        attempt.lagMs = nowMs - attempt.intendedMs;
        recorder.recordIntended(attempt);
        double abandonAfterMs = attempt.session.beginAttempt(attempt.arrival.timeoutMs());
        if (Double.isFinite(abandonAfterMs)) {
            attempt.abandonTimer = timers.schedule(
                    attempt.intendedMs + abandonAfterMs, () -> endAttempt(attempt, AttemptResult.LEFT, null, true));
        }
        attempt.timeoutTimer =
                timers.schedule(attempt.intendedMs + attempt.arrival.timeoutMs(), () -> handleTimeout(attempt));
        assignConnection(
                attempt,
                attempt.arrival.newConnection()
                        || attempt.arrival.stream().behavior.ownConnection());
    }

    private void assignConnection(ClientAttempt attempt, boolean isOwn) {
        String zone = attempt.arrival.stream().zone;
        Deque<ClientConnection> idleInZone = idle.computeIfAbsent(zone, name -> new ArrayDeque<>());
        if (!isOwn && !idleInZone.isEmpty()) {
            sendOn(idleInZone.pollLast(), attempt);
            return;
        }
        if (connections.size() >= plan.connections()) {
            // A connection that is idle in another zone is closed to make room.
            Deque<ClientConnection> idleElsewhere = idle.values().stream()
                    .filter(queue -> !queue.isEmpty())
                    .findFirst()
                    .orElse(null);
            if (idleElsewhere == null) {
                recorder.waitsForConnection++;
                waiting.computeIfAbsent(zone, name -> new ArrayDeque<>()).add(attempt);
                return;
            }
            dropConnection(idleElsewhere.pollFirst());
        }
        openConnection(attempt, isOwn);
    }

    private void openConnection(ClientAttempt attempt, boolean isOwn) {
        ClientConnection connection = new ClientConnection(pickTarget(attempt.arrival.stream().zone), isOwn);
        connection.attempt = attempt;
        attempt.connection = connection;
        attempt.target = connection.target;
        connections.add(connection);
        recorder.connectionsOpened++;
        try {
            transport.open(connection);
            timers.schedule(nowMs + plan.connectMs(), () -> {
                if (!connection.isEstablished && !connection.isDropped) {
                    dropConnection(connection);
                    if (connection.attempt != null) {
                        endAttempt(connection.attempt, AttemptResult.NO_CONNECTION, null, false);
                    }
                }
            });
        } catch (IllegalStateException e) {
            connections.remove(connection);
            connection.isDropped = true;
            recorder.socketFailures++;
            stop("cannot open another socket with " + connections.size() + " connections open: " + e.getMessage());
            endAttempt(attempt, AttemptResult.NO_CONNECTION, null, false);
        }
    }

    /**
     * The next front node in turn among the ready ones of the client's zone, else among all ready ones, else among all;
     * null if the plan names none.
     */
    private LoadPlan.Target pickTarget(String zone) {
        List<LoadPlan.Target> candidates = new ArrayList<>();
        for (LoadPlan.Target target : plan.targets()) {
            if (!notReady.contains(target) && (zone.isEmpty() || target.zone().equals(zone))) {
                candidates.add(target);
            }
        }
        if (candidates.isEmpty()) {
            plan.targets().stream().filter(target -> !notReady.contains(target)).forEach(candidates::add);
        }
        if (candidates.isEmpty()) {
            candidates = plan.targets();
        }
        return candidates.isEmpty() ? null : candidates.get((int) (targetTurn++ % candidates.size()));
    }

    private void sendOn(ClientConnection connection, ClientAttempt attempt) {
        connection.attempt = attempt;
        attempt.connection = connection;
        attempt.target = connection.target;
        attempt.sentMs = nowMs;
        // Before the call below: on sockets, parts can reach servers before that call returns.
        listener.onSent(attempt, nowMs);
        transport.send(connection, attempt, attempt.leftMs(nowMs));
    }

    // ---- Events of the transport ----

    public void onConnected(ClientConnection connection, double atMs) {
        nowMs = atMs;
        connection.isEstablished = true;
        if (connection.isDropped) {
            return;
        }
        if (connection.attempt == null) {
            reuseConnection(connection);
        } else {
            sendOn(connection, connection.attempt);
        }
    }

    /** The last byte of the request has been written to the socket. */
    public void onWritten(ClientConnection connection, double atMs) {
        ClientAttempt attempt = connection.attempt;
        if (attempt != null && Double.isNaN(attempt.writtenMs)) {
            attempt.writtenMs = atMs;
            recorder.recordLag(attempt.lagMs + atMs - attempt.sentMs);
        }
    }

    public void onResponse(ClientConnection connection, HttpResponse answer, double atMs) {
        nowMs = atMs;
        ClientAttempt attempt = connection.attempt;
        if (attempt == null) {
            onUnexpectedBytes(connection, atMs);
            return;
        }
        connection.isUsed = true;
        AttemptResult kind = answer.endedByClose() ? AttemptResult.NO_LENGTH : responseCheck.classify(attempt, answer);
        boolean keepsAlive = answer.keepsAlive() && !answer.endedByClose() && !connection.isOwn;
        if (!keepsAlive) {
            dropConnection(connection);
        }
        endAttempt(attempt, attempt.timedOut ? AttemptResult.LATE : kind, answer, false);
        if (keepsAlive && !connection.isDropped) {
            connection.attempt = null;
            reuseConnection(connection);
        }
    }

    /** The bytes received are not an acceptable answer. */
    public void onInvalidResponse(ClientConnection connection, AttemptResult kind, double atMs) {
        nowMs = atMs;
        dropConnection(connection);
        if (connection.attempt != null) {
            endAttempt(connection.attempt, connection.attempt.timedOut ? AttemptResult.NONE : kind, null, false);
        }
    }

    /** Bytes arrived while no request was open, for instance a second answer to the last one. */
    public void onUnexpectedBytes(ClientConnection connection, double atMs) {
        nowMs = atMs;
        recorder.unexpectedResponses++;
        listener.onUnexpectedBytes(atMs);
        dropConnection(connection);
    }

    /** The front node closed the connection, or it was never established. */
    public void onConnectionLost(ClientConnection connection, boolean answerBegun, double atMs) {
        nowMs = atMs;
        ClientAttempt attempt = connection.attempt;
        dropConnection(connection);
        if (attempt == null) {
            recorder.connectionsClosedIdle++;
        } else if (!connection.isEstablished) {
            endAttempt(attempt, AttemptResult.NO_CONNECTION, null, false);
        } else if (answerBegun) {
            endAttempt(attempt, attempt.timedOut ? AttemptResult.NONE : AttemptResult.CUT, null, false);
        } else if (connection.isUsed
                && !attempt.resent
                && !attempt.timedOut
                && atMs - attempt.sentMs < CLOSE_RACE_MS
                && !stopping) {
            // The request and the close crossed: the front node may close an idle connection at any time.
            attempt.resent = true;
            recorder.resent++;
            attempt.connection = null;
            openConnection(attempt, connection.isOwn);
        } else {
            endAttempt(attempt, attempt.timedOut ? AttemptResult.NONE : AttemptResult.CLOSED, null, false);
        }
    }

    // ---- Connections and ends of attempts ----

    private void dropConnection(ClientConnection connection) {
        if (!connection.isDropped) {
            connection.isDropped = true;
            connections.remove(connection);
            idle.values().forEach(queue -> queue.remove(connection));
            transport.close(connection);
            openForWaitingAttempt();
        }
    }

    private void reuseConnection(ClientConnection connection) {
        for (Map.Entry<String, Deque<ClientAttempt>> entry : waiting.entrySet()) {
            if (servesZone(entry.getKey(), connection)) {
                ClientAttempt attempt = entry.getValue().poll();
                if (attempt != null) {
                    sendOn(connection, attempt);
                    return;
                }
            }
        }
        idle.computeIfAbsent(zoneOf(connection), name -> new ArrayDeque<>()).add(connection);
    }

    private boolean servesZone(String zone, ClientConnection connection) {
        return zone.isEmpty() || connection.target != null && zone.equals(connection.target.zone());
    }

    private String zoneOf(ClientConnection connection) {
        boolean hasStreams = connection.target != null
                && plan.streams().stream().anyMatch(stream -> stream.zone.equals(connection.target.zone()));
        return hasStreams ? connection.target.zone() : "";
    }

    /** After a connection has closed: opens one for an attempt that waits. */
    private void openForWaitingAttempt() {
        if (connections.size() < plan.connections() && !stopping) {
            for (Deque<ClientAttempt> queue : waiting.values()) {
                ClientAttempt attempt = queue.poll();
                if (attempt != null) {
                    openConnection(
                            attempt,
                            attempt.arrival.newConnection()
                                    || attempt.arrival.stream().behavior.ownConnection());
                    return;
                }
            }
        }
    }

    /** At the client's timeout: the client may retry, and a late answer is still awaited for {@code lingerMs}. */
    private void handleTimeout(ClientAttempt attempt) {
        attempt.timeoutTimer = null;
        if (attempt.abandonTimer != null) {
            timers.cancel(attempt.abandonTimer);
        }
        if (Double.isNaN(attempt.sentMs)) {
            ClientConnection connection = attempt.connection;
            if (connection == null) {
                waiting.values().forEach(queue -> queue.remove(attempt));
                endAttempt(attempt, AttemptResult.NOT_SENT, null, false);
            } else {
                dropConnection(connection);
                endAttempt(attempt, AttemptResult.NO_CONNECTION, null, false);
            }
            return;
        }
        attempt.timedOut = true;
        scheduleRetry(attempt, 0);
        attempt.timeoutTimer =
                timers.schedule(nowMs + plan.lingerMs(), () -> endAttempt(attempt, AttemptResult.NONE, null, true));
    }

    private void endAttempt(ClientAttempt attempt, AttemptResult kind, HttpResponse answer, boolean closesConnection) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        openAttempts.remove(attempt);
        if (attempt.timeoutTimer != null) {
            timers.cancel(attempt.timeoutTimer);
        }
        if (attempt.abandonTimer != null) {
            timers.cancel(attempt.abandonTimer);
        }
        ClientConnection connection = attempt.connection;
        if (connection == null) {
            waiting.values().forEach(queue -> queue.remove(attempt));
        } else if (connection.attempt == attempt) {
            connection.attempt = null;
            if (closesConnection) {
                dropConnection(connection);
            }
        }
        recorder.recordEnd(attempt, kind, nowMs);
        listener.onEnded(attempt, kind, answer, nowMs);
        if (!attempt.timedOut) {
            if (kind.isServed() || kind == AttemptResult.LEFT) {
                recorder.recordSession(attempt, kind.isServed(), nowMs);
            } else {
                scheduleRetry(attempt, answer == null ? 0 : answer.retryAfterMs());
            }
        }
    }

    private void scheduleRetry(ClientAttempt attempt, double retryAfterMs) {
        double waitMs = stopping ? -1 : attempt.session.pauseAfterFailureMs(retryAfterMs);
        if (waitMs < 0) {
            recorder.recordSession(attempt, false, nowMs);
            return;
        }
        pendingRetries++;
        double dueMs = nowMs + waitMs;
        timers.schedule(dueMs, () -> {
            pendingRetries--;
            if (stopping) {
                recorder.recordSession(attempt, false, nowMs);
            } else {
                beginAttempt(new ClientAttempt(
                        attempt.arrival, attempt.session, attempt.attemptNumber + 1, dueMs, attempt.sessionStartMs));
            }
        });
    }
}
