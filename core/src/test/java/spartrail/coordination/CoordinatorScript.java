package spartrail.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/** Reports scripted events to a coordinator and records its decisions, which a test compares with a trace file. */
final class CoordinatorScript {
    final OpType opType = new OpType();
    final List<OpType> opTypes = new ArrayList<>(List.of(opType));
    Coordinator coordinator;
    double nowMs = 1000;
    /** Whether multigets submitted from now on are marked as retries by their clients. */
    boolean clientRetry;

    private final StringBuilder trace = new StringBuilder();
    private final Map<Long, Multiget> multigets = new LinkedHashMap<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();

    CoordinatorScript() {
        opType.name = "read";
        opType.priorityWeight = 1;
        opType.latencyObjectiveMs = 1000;
        opType.timeoutMs = 2000;
        opType.lateShare = 0.3;
        opType.idempotency = OpType.Idempotency.IDEMPOTENT;
        opType.completeWeight = 1;
        opType.minimumWeight = 1;
        opType.partialShare = 0.9;
        opType.latency.meanLatencyMs = 100;
        opType.latency.unloadedLatencyMs = 100;
        opType.latency.latencyDeviationMs = 20;
    }

    /** Adds an op type with three times the priority weight of the first one. */
    OpType addHighPriorityOpType() {
        OpType highPriority = new CoordinatorScript().opType;
        highPriority.name = "vital";
        highPriority.priorityWeight = 3;
        opTypes.add(highPriority);
        return highPriority;
    }

    /** Starts the coordinator with one server per cell, and with hedging, cancellation and Retry-After allowed. */
    CoordinatorScript startFleet(int shards, int cells, int replicationFactor, int maxPartsPerBatch) {
        coordinator = new WindowCoordinator(new Random(7), opTypes)
                .configureFrontNodes(2, 5)
                .configureLayout(shards, cells, replicationFactor, maxPartsPerBatch)
                .configureAttempts(4, true, true)
                .configureSlowStart(0.2, 10_000, 2, 1000)
                .configureRetryAfter(true, 1000);
        List<Server> servers = new ArrayList<>();
        for (int cell = 0; cell < cells; cell++) {
            servers.add(createServer("s" + cell, cell, Server.State.LIVE, -1));
        }
        return recordDecisions("list", coordinator.onEndpointUpdate(servers, true, true, nowMs));
    }

    static Server createServer(String id, int cell, Server.State state, double startedAtMs) {
        Server server = new Server(id);
        server.cell = cell;
        server.state = state;
        server.startedAtMs = startedAtMs;
        return server;
    }

    static Server createServerInZone(String id, int cell, String zone) {
        Server server = createServer(id, cell, Server.State.LIVE, -1);
        server.zone = zone;
        return server;
    }

    CoordinatorScript updateEndpoints(boolean complete, boolean fresh, Server... servers) {
        return recordDecisions("list", coordinator.onEndpointUpdate(List.of(servers), complete, fresh, nowMs));
    }

    CoordinatorScript submit(long id, int... shards) {
        return submit(opType, id, 2000, shards);
    }

    /** Submits multigets with these ids, each with one part of the same shard. */
    CoordinatorScript submitEach(long firstId, long lastId, int shard) {
        for (long id = firstId; id <= lastId; id++) {
            submit(id, shard);
        }
        return this;
    }

    CoordinatorScript submit(OpType placedType, long id, double clientTimeLeftMs, int... shards) {
        Multiget multiget = new Multiget();
        multiget.id = id;
        multiget.opType = placedType;
        multiget.clientTimeLeftMs = clientTimeLeftMs;
        multiget.clientRetry = clientRetry;
        multiget.arrivedMs = nowMs;
        multigets.put(id, multiget);
        for (int shard : shards) {
            Part part = new Part();
            part.id = 100 + shard;
            part.multiget = multiget;
            part.shard = coordinator.shard(shard);
            part.weight = 1.0 / shards.length;
            multiget.parts.add(part);
        }
        return recordDecisions("place " + id, coordinator.submit(multiget, nowMs));
    }

    /** Reports the outcome of an attempt, named as in the trace; does nothing if that attempt was never started. */
    CoordinatorScript reportOutcome(String name, Attempt.Outcome outcome) {
        Attempt attempt = attempts.get(name);
        if (attempt == null) {
            return this;
        }
        return recordDecisions(
                name + " " + traceName(outcome),
                coordinator.onOutcome(attempt, outcome, nowMs - attempt.sentMs, nowMs));
    }

    /** Reports the same outcome for all attempts in flight at a server. */
    CoordinatorScript reportOutcomeForAllAt(String server, Attempt.Outcome outcome) {
        List.copyOf(attempts.keySet()).stream()
                .filter(name -> attempts.get(name).isInFlight()
                        && attempts.get(name).server.id.equals(server))
                .forEach(name -> reportOutcome(name, outcome));
        return this;
    }

    CoordinatorScript closeClient(long id) {
        return recordDecisions("gone " + id, coordinator.onClientGone(multigets.get(id), nowMs));
    }

    CoordinatorScript reportDiscoveryUnavailable() {
        return recordDecisions("unlisted", coordinator.onDiscoveryUnavailable(nowMs));
    }

    /** Advances the time, and runs the timers of the coordinator that become due meanwhile. */
    CoordinatorScript advance(double durationMs) {
        double untilMs = nowMs + durationMs;
        while (nowMs + coordinator.timeToNextTimerMs(nowMs) <= untilMs) {
            nowMs += coordinator.timeToNextTimerMs(nowMs);
            Decisions decisions = coordinator.onTimer(nowMs);
            if (!describe(decisions).isEmpty()) {
                recordDecisions("wait", decisions);
            }
        }
        nowMs = untilMs;
        return this;
    }

    /** Simulates a pause of the process. The timers run first after it; events that arrived during the pause follow. */
    CoordinatorScript pauseProcess(double durationMs) {
        coordinator.timeToNextTimerMs(nowMs);
        nowMs += durationMs;
        return recordDecisions("back", coordinator.onTimer(nowMs));
    }

    /** Records the latest time at which the frame of an attempt may begin. */
    CoordinatorScript recordSendDeadline(String name) {
        trace.append(String.format(
                Locale.ROOT, "%5.0f %s leaves by %.0f%n", nowMs, name, attempts.get(name).sendDeadlineMs));
        return this;
    }

    private CoordinatorScript recordDecisions(String call, Decisions decisions) {
        trace.append(String.format(Locale.ROOT, "%5.0f %s ->%s%n", nowMs, call, describe(decisions)));
        return this;
    }

    private String describe(Decisions decisions) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : decisions.attempts) {
            text.append(' ').append(attemptName(attempt)).append('@').append(attempt.server.id);
            attempts.put(attemptName(attempt), attempt);
        }
        for (Multiget multiget : decisions.answers) {
            text.append(" [")
                    .append(multiget.id)
                    .append(' ')
                    .append(traceName(multiget.answer))
                    .append(']');
        }
        decisions.cancellations.forEach(attempt -> text.append(" x").append(attemptName(attempt)));
        return text.append(decisions.watchEndpoints ? " follow" : "").toString();
    }

    /** Returns the name of an outcome in the trace files, which contain earlier names of some outcomes and answers. */
    private static String traceName(Attempt.Outcome outcome) {
        return outcome == Attempt.Outcome.MALFORMED ? "GARBLED" : outcome.name();
    }

    private static String traceName(Multiget.Answer answer) {
        return switch (answer) {
            case COMPLETE -> "WHOLE";
            case REJECTED -> "PUSHED_BACK";
            case PARTIAL, FAILED -> answer.name();
        };
    }

    /** Names an attempt by its multiget, shard and number. */
    private static String attemptName(Attempt attempt) {
        Part part = attempt.part;
        return part.multiget.id + "." + part.shard.number + "#" + attempt.number;
    }

    /** Checks that the recorded decisions equal the trace file of this name. */
    void assertTraceMatches(String name) {
        try (InputStream resource = CoordinatorScript.class.getResourceAsStream("/traces/" + name + ".txt")) {
            String expected = resource == null ? "" : new String(resource.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(trace.toString()).isEqualToNormalizingNewlines(expected);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
