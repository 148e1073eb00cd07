package spartrail.sim;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.config.CoordinatorSettings;
import spartrail.coordination.Coordinator;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/**
 * One coordinator instance under the simulator. Keeps its timer and its multigets in progress, and converts the names
 * and units of the protocol.
 */
final class SimNode {
    private static final Map<String, Attempt.Outcome> OUTCOMES = Map.of(
            "S",
            Attempt.Outcome.ANSWERED,
            "E",
            Attempt.Outcome.ERROR,
            "F",
            Attempt.Outcome.FULL,
            "T",
            Attempt.Outcome.TIMED_OUT,
            "C",
            Attempt.Outcome.CONNECT_FAILED,
            "R",
            Attempt.Outcome.RESET,
            "X",
            Attempt.Outcome.CANCELLED,
            "N",
            Attempt.Outcome.NOT_SENT);
    private static final Map<String, Server.State> STATES =
            Map.of("live", Server.State.LIVE, "quiescing", Server.State.DRAINING, "dead", Server.State.GONE);

    private final Map<Integer, List<?>> serverLists;
    private final PrintStream err;
    private final List<List<Object>> actions = new ArrayList<>();

    private Coordinator coordinator;
    private final Map<String, OpType> opTypes = new HashMap<>();
    private final Map<Long, Multiget> multigets = new HashMap<>();
    /** Multigets by the number that their parts carry. */
    private final Map<Long, Multiget> multigetsByNumber = new HashMap<>();

    private final Map<Long, Part> parts = new HashMap<>();
    /**
     * The multiget whose parts are being received. It is submitted when another multiget or another event arrives, or
     * when the batch ends.
     */
    private Multiget pending;

    private double timerAtMs = Double.MAX_VALUE;

    SimNode(Map<Integer, List<?>> serverLists, PrintStream err) {
        this.serverLists = serverLists;
        this.err = err;
    }

    /** Handles an event. An exception in the decisions is reported as the action GIVE_IN. */
    void handleEvent(List<?> event, double nowMs) {
        try {
            if (!"INCOMING".equals(event.get(0))) {
                submitPending(nowMs);
            }
            dispatch(event, nowMs);
        } catch (RuntimeException e) {
            reportFailure(e);
        }
    }

    /** Returns the actions that result from the events since the last call. */
    List<List<Object>> takeActions(double nowMs) {
        try {
            submitPending(nowMs);
            armTimer(nowMs);
        } catch (RuntimeException e) {
            reportFailure(e);
        }
        List<List<Object>> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    private void reportFailure(RuntimeException e) {
        e.printStackTrace(err);
        String text = e.getMessage() == null ? e.toString() : e.getMessage();
        actions.add(List.of("GIVE_IN", text));
    }

    private void dispatch(List<?> event, double nowMs) {
        String name = (String) event.get(0);
        if (name.equals("POWER_ON") || name.equals("POWER_OFF")) {
            reset();
        }
        if (name.equals("POWER_ON")) {
            Map<?, ?> info = (Map<?, ?>) event.get(2);
            List<OpType> configured = CoordinatorSettings.parseOpTypes(info);
            configured.forEach(opType -> opTypes.put(opType.name, opType));
            coordinator = CoordinatorSettings.createCoordinator(((Number) event.get(1)).longValue(), info, configured);
        }
        if (coordinator == null) {
            return;
        }
        switch (name) {
            case "DISCOVERY" -> onDiscovery(event, nowMs);
            case "INCOMING" -> onIncoming(event, nowMs);
            case "COMPLETED" -> {
                Attempt attempt = findAttempt(event);
                Attempt.Outcome outcome = OUTCOMES.get(event.get(4));
                if (attempt != null && outcome != null) {
                    appendActions(coordinator.onOutcome(attempt, outcome, 1000 * parseNumber(event, 5), nowMs));
                    removeIfFinished(attempt.part.multiget);
                }
            }
            case "CLIENT_GONE" -> {
                Multiget multiget = multigets.get(parseId(event));
                if (multiget != null) {
                    appendActions(coordinator.onClientGone(multiget, nowMs));
                    removeIfFinished(multiget);
                }
            }
            case "BELL" -> {
                // The simulator's clock counts microseconds, so a BELL may come early by a rounding error.
                if (nowMs >= timerAtMs - 0.001) {
                    timerAtMs = Double.MAX_VALUE;
                }
                appendActions(coordinator.onTimer(nowMs));
            }
            default -> {}
        }
    }

    private void reset() {
        coordinator = null;
        opTypes.clear();
        multigets.clear();
        multigetsByNumber.clear();
        parts.clear();
        pending = null;
        timerAtMs = Double.MAX_VALUE;
        actions.clear();
    }

    private void armTimer(double nowMs) {
        if (coordinator == null) {
            return;
        }
        double waitMs = Math.ceil(1000 * coordinator.timeToNextTimerMs(nowMs)) / 1000;
        if (nowMs + waitMs < timerAtMs) {
            timerAtMs = nowMs + waitMs;
            actions.add(List.of("ARM", "wait", waitMs / 1000));
        }
    }

    private void onIncoming(List<?> event, double nowMs) {
        long number = ((Number) event.get(7)).longValue();
        double shard = parseNumber(event, 8);
        if (shard < 0) {
            submitPending(nowMs);
            Multiget multiget = new Multiget();
            multiget.id = parseId(event);
            multiget.number = number;
            multiget.opType = opTypes.get(event.get(2));
            multiget.tenant = event.get(3) instanceof String tenant ? tenant : null;
            multiget.key = (String) event.get(4);
            multiget.clientTimeLeftMs = 1000 * parseNumber(event, 5);
            multiget.costMs = 1000 * parseNumber(event, 6);
            multiget.clientRetry = Boolean.TRUE.equals(event.get(10));
            multiget.write = Boolean.TRUE.equals(event.get(11));
            multiget.arrivedMs = nowMs;
            if (multiget.opType == null) {
                throw new IllegalArgumentException("INCOMING of a class that boot-info lacks: " + event.get(2));
            }
            multigets.put(multiget.id, multiget);
            multigetsByNumber.put(number, multiget);
            pending = multiget;
            return;
        }
        Multiget multiget = multigetsByNumber.get(number);
        if (multiget == null || pending != multiget) {
            return;
        }
        Part part = new Part();
        part.id = parseId(event);
        part.multiget = multiget;
        part.costMs = 1000 * parseNumber(event, 6);
        part.weight = parseNumber(event, 9);
        part.shard = coordinator.shard((int) shard);
        multiget.parts.add(part);
        parts.put(part.id, part);
    }

    private void submitPending(double nowMs) {
        if (pending != null) {
            Multiget multiget = pending;
            pending = null;
            appendActions(coordinator.submit(multiget, nowMs));
            removeIfFinished(multiget);
        }
    }

    private void onDiscovery(List<?> event, double nowMs) {
        String listKind = (String) event.get(2);
        if (listKind.equals("X")) {
            appendActions(coordinator.onDiscoveryUnavailable(nowMs));
            return;
        }
        List<Server> servers = new ArrayList<>();
        for (Object entry : serverLists.getOrDefault(((Number) event.get(1)).intValue(), List.of())) {
            List<?> fields = (List<?>) entry;
            Server server = new Server((String) fields.get(0));
            server.zone = (String) fields.get(1);
            server.kind = (String) fields.get(2);
            server.cell = ((Number) fields.get(3)).intValue();
            server.state = STATES.getOrDefault(fields.get(4), Server.State.GONE);
            server.weight = fields.get(5) instanceof Number weight ? weight.doubleValue() : 1;
            double startedAtS = fields.size() > 6 ? parseNumber(fields, 6) : 0;
            server.startedAtMs = startedAtS > 0 ? 1000 * startedAtS : -1;
            servers.add(server);
        }
        appendActions(coordinator.onEndpointUpdate(servers, !listKind.equals("D"), !listKind.equals("C"), nowMs));
    }

    private Attempt findAttempt(List<?> event) {
        Part part = parts.get(parseId(event));
        int number = ((Number) event.get(2)).intValue();
        return part == null || number < 0 || number >= part.attempts.size() ? null : part.attempts.get(number);
    }

    private void removeIfFinished(Multiget multiget) {
        if (multiget.finished && multiget.attemptsInFlight == 0) {
            multigets.remove(multiget.id);
            multigetsByNumber.remove(multiget.number);
            multiget.parts.forEach(part -> parts.remove(part.id));
        }
    }

    private void appendActions(Decisions decisions) {
        for (Attempt attempt : decisions.attempts) {
            actions.add(List.of("TRY", attempt.part.id, attempt.timeoutMs / 1000, attempt.server.id));
        }
        for (Multiget multiget : decisions.answers) {
            switch (multiget.answer) {
                case COMPLETE -> actions.add(List.of("REPLY_NOW", multiget.id, true));
                case PARTIAL -> actions.add(List.of("REPLY_NOW", multiget.id, false));
                case REJECTED -> actions.add(List.of("PUSH_BACK", multiget.id, multiget.retryAfterMs / 1000));
                default -> actions.add(List.of("ERROR", multiget.id));
            }
        }
        for (Attempt attempt : decisions.cancellations) {
            actions.add(List.of("UNDO_SEND", attempt.part.id, attempt.number));
        }
        if (decisions.watchEndpoints) {
            actions.add(List.of("STREAM_CHANGES", true));
        }
    }

    private static long parseId(List<?> event) {
        return ((Number) event.get(1)).longValue();
    }

    private static double parseNumber(List<?> fields, int index) {
        return fields.get(index) instanceof Number number ? number.doubleValue() : 0;
    }
}
