package spartrail.sim;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.config.Provisioning;
import spartrail.coordination.Coordinator;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/** One instance on the wire: keeps its timer and the multigets in hand, converts words and units. */
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

    private final Map<Integer, List<?>> rosters;
    private final PrintStream err;
    private final List<List<Object>> actions = new ArrayList<>();

    private Coordinator coordinator;
    private final Map<String, OpType> opTypes = new HashMap<>();
    private final Map<Long, Multiget> multigets = new HashMap<>();
    /** By the number that a multiget's parts bear. */
    private final Map<Long, Multiget> multigetsByNumber = new HashMap<>();

    private final Map<Long, Part> parts = new HashMap<>();
    /** The multiget whose parts are coming in. */
    private Multiget incoming;

    private double bellAtMs = Double.MAX_VALUE;

    SimNode(Map<Integer, List<?>> rosters, PrintStream err) {
        this.rosters = rosters;
        this.err = err;
    }

    /** Takes an event; an exception in the decisions ends the day in the wire's own words. */
    void take(List<?> event, double nowMs) {
        try {
            if (!"INCOMING".equals(event.get(0))) {
                placeIncoming(nowMs);
            }
            dispatch(event, nowMs);
        } catch (RuntimeException e) {
            giveIn(e);
        }
    }

    /** What this instance does about the events taken since the last call. */
    List<List<Object>> actions(double nowMs) {
        try {
            placeIncoming(nowMs);
            armBell(nowMs);
        } catch (RuntimeException e) {
            giveIn(e);
        }
        List<List<Object>> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    private void giveIn(RuntimeException e) {
        e.printStackTrace(err);
        String text = e.getMessage() == null ? e.toString() : e.getMessage();
        actions.add(List.of("GIVE_IN", text));
    }

    private void dispatch(List<?> event, double nowMs) {
        String name = (String) event.get(0);
        if (name.equals("POWER_ON") || name.equals("POWER_OFF")) {
            forget();
        }
        if (name.equals("POWER_ON")) {
            Map<?, ?> info = (Map<?, ?>) event.get(2);
            List<OpType> known = Provisioning.opTypes(info);
            known.forEach(opType -> opTypes.put(opType.name, opType));
            coordinator = Provisioning.coordinator(((Number) event.get(1)).longValue(), info, known);
        }
        if (coordinator == null) {
            return;
        }
        switch (name) {
            case "DISCOVERY" -> listed(event, nowMs);
            case "INCOMING" -> incoming(event, nowMs);
            case "COMPLETED" -> {
                Attempt send = send(event);
                Attempt.Outcome outcome = OUTCOMES.get(event.get(4));
                if (send != null && outcome != null) {
                    carryOut(coordinator.after(send, outcome, 1000 * number(event, 5), nowMs));
                    forgetIfEnded(send.part.multiget);
                }
            }
            case "CLIENT_GONE" -> {
                Multiget mg = multigets.get(id(event));
                if (mg != null) {
                    carryOut(coordinator.clientGone(mg, nowMs));
                    forgetIfEnded(mg);
                }
            }
            case "BELL" -> {
                // The wire's clock counts microseconds, so a bell may come a rounding error early.
                if (nowMs >= bellAtMs - 0.001) {
                    bellAtMs = Double.MAX_VALUE;
                }
                carryOut(coordinator.waited(nowMs));
            }
            default -> {}
        }
    }

    private void forget() {
        coordinator = null;
        opTypes.clear();
        multigets.clear();
        multigetsByNumber.clear();
        parts.clear();
        incoming = null;
        bellAtMs = Double.MAX_VALUE;
        actions.clear();
    }

    private void armBell(double nowMs) {
        if (coordinator == null) {
            return;
        }
        double waitMs = Math.ceil(1000 * coordinator.waitMs(nowMs)) / 1000;
        if (nowMs + waitMs < bellAtMs) {
            bellAtMs = nowMs + waitMs;
            actions.add(List.of("ARM", "wait", waitMs / 1000));
        }
    }

    private void incoming(List<?> event, double nowMs) {
        long number = ((Number) event.get(7)).longValue();
        double shard = number(event, 8);
        if (shard < 0) {
            placeIncoming(nowMs);
            Multiget mg = new Multiget();
            mg.id = id(event);
            mg.number = number;
            mg.opType = opTypes.get(event.get(2));
            mg.tenant = event.get(3) instanceof String tenant ? tenant : null;
            mg.key = (String) event.get(4);
            mg.clientLeftMs = 1000 * number(event, 5);
            mg.costMs = 1000 * number(event, 6);
            mg.clientRetry = Boolean.TRUE.equals(event.get(10));
            mg.write = Boolean.TRUE.equals(event.get(11));
            mg.arrivedMs = nowMs;
            if (mg.opType == null) {
                throw new IllegalArgumentException("INCOMING of a class that boot-info lacks: " + event.get(2));
            }
            multigets.put(mg.id, mg);
            multigetsByNumber.put(number, mg);
            incoming = mg;
            return;
        }
        Multiget mg = multigetsByNumber.get(number);
        if (mg == null || incoming != mg) {
            return;
        }
        Part part = new Part();
        part.id = id(event);
        part.multiget = mg;
        part.costMs = 1000 * number(event, 6);
        part.weight = number(event, 9);
        part.shard = coordinator.shard((int) shard);
        mg.parts.add(part);
        parts.put(part.id, part);
    }

    private void placeIncoming(double nowMs) {
        if (incoming != null) {
            Multiget mg = incoming;
            incoming = null;
            carryOut(coordinator.place(mg, nowMs));
            forgetIfEnded(mg);
        }
    }

    private void listed(List<?> event, double nowMs) {
        String how = (String) event.get(2);
        if (how.equals("X")) {
            carryOut(coordinator.unlisted(nowMs));
            return;
        }
        List<Server> lines = new ArrayList<>();
        for (Object entry : rosters.getOrDefault(((Number) event.get(1)).intValue(), List.of())) {
            List<?> line = (List<?>) entry;
            Server server = new Server((String) line.get(0));
            server.zone = (String) line.get(1);
            server.kind = (String) line.get(2);
            server.cell = ((Number) line.get(3)).intValue();
            server.state = STATES.getOrDefault(line.get(4), Server.State.GONE);
            server.rating = line.get(5) instanceof Number rating ? rating.doubleValue() : 1;
            double born = line.size() > 6 ? number(line, 6) : 0;
            server.bornMs = born > 0 ? 1000 * born : -1;
            lines.add(server);
        }
        carryOut(coordinator.listed(lines, !how.equals("D"), !how.equals("C"), nowMs));
    }

    private Attempt send(List<?> event) {
        Part part = parts.get(id(event));
        int number = ((Number) event.get(2)).intValue();
        return part == null || number < 0 || number >= part.sends.size() ? null : part.sends.get(number);
    }

    private void forgetIfEnded(Multiget mg) {
        if (mg.over && mg.sendsOut == 0) {
            multigets.remove(mg.id);
            multigetsByNumber.remove(mg.number);
            mg.parts.forEach(part -> parts.remove(part.id));
        }
    }

    private void carryOut(Decisions decisions) {
        for (Attempt send : decisions.sends) {
            actions.add(List.of("TRY", send.part.id, send.timeoutMs / 1000, send.server.id));
        }
        for (Multiget mg : decisions.answers) {
            switch (mg.answer) {
                case WHOLE -> actions.add(List.of("REPLY_NOW", mg.id, true));
                case PARTIAL -> actions.add(List.of("REPLY_NOW", mg.id, false));
                case PUSHED_BACK -> actions.add(List.of("PUSH_BACK", mg.id, mg.comebackMs / 1000));
                default -> actions.add(List.of("ERROR", mg.id));
            }
        }
        for (Attempt send : decisions.cancels) {
            actions.add(List.of("UNDO_SEND", send.part.id, send.number));
        }
        if (decisions.follow) {
            actions.add(List.of("STREAM_CHANGES", true));
        }
    }

    private static long id(List<?> event) {
        return ((Number) event.get(1)).longValue();
    }

    private static double number(List<?> event, int at) {
        return event.get(at) instanceof Number number ? number.doubleValue() : 0;
    }
}
