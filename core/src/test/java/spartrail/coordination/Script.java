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

/** Plays a small script to a coordinator and prints what it decides, to be compared with a kept trace. */
final class Script {
    final OpType opType = new OpType();
    final List<OpType> opTypes = new ArrayList<>(List.of(opType));
    Coordinator coordinator;
    double now = 1000;
    /** Whether multigets placed from here on are repeats by their clients. */
    boolean clientRetry;

    private final StringBuilder trace = new StringBuilder();
    private final Map<Long, Multiget> multigets = new LinkedHashMap<>();
    private final Map<String, Attempt> sends = new LinkedHashMap<>();

    Script() {
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

    /** A further op type, of three times the importance. */
    OpType vital() {
        OpType vital = new Script().opType;
        vital.name = "vital";
        vital.priorityWeight = 3;
        opTypes.add(vital);
        return vital;
    }

    /** So many shards, each held by so many cells of one server, and every thing allowed. */
    Script fleet(int shards, int cells, int reach, int partsPerCall) {
        coordinator = new WindowCoordinator(new Random(7), opTypes)
                .frontNodes(2, 5)
                .layout(shards, cells, reach, partsPerCall)
                .attempts(4, true, true)
                .slowStart(0.2, 10_000, 2, 1000)
                .retryAfter(true, 1000);
        List<Server> lines = new ArrayList<>();
        for (int cell = 0; cell < cells; cell++) {
            lines.add(line("s" + cell, cell, Server.State.LIVE, -1));
        }
        return print("list", coordinator.onEndpointUpdate(lines, true, true, now));
    }

    static Server line(String id, int cell, Server.State state, double bornMs) {
        Server server = new Server(id);
        server.cell = cell;
        server.state = state;
        server.startedAtMs = bornMs;
        return server;
    }

    static Server zoned(String id, int cell, String zone) {
        Server server = line(id, cell, Server.State.LIVE, -1);
        server.zone = zone;
        return server;
    }

    Script listed(boolean all, boolean fresh, Server... lines) {
        return print("list", coordinator.onEndpointUpdate(List.of(lines), all, fresh, now));
    }

    Script place(long id, int... shards) {
        return place(opType, id, 2000, shards);
    }

    Script place(OpType of, long id, double leftMs, int... shards) {
        Multiget mg = new Multiget();
        mg.id = id;
        mg.opType = of;
        mg.clientTimeLeftMs = leftMs;
        mg.clientRetry = clientRetry;
        mg.arrivedMs = now;
        multigets.put(id, mg);
        for (int shard : shards) {
            Part part = new Part();
            part.id = 100 + shard;
            part.multiget = mg;
            part.shard = coordinator.shard(shard);
            part.weight = 1.0 / shards.length;
            mg.parts.add(part);
        }
        return print("place " + id, coordinator.place(mg, now));
    }

    /** The outcome of a send, named as in the trace. */
    Script after(String name, Attempt.Outcome outcome) {
        Attempt send = sends.get(name);
        if (send == null) {
            return this;
        }
        return print(name + " " + traceName(outcome), coordinator.onOutcome(send, outcome, now - send.sentMs, now));
    }

    /** The same outcome for all that is out at a server. */
    Script afterAt(String server, Attempt.Outcome outcome) {
        List.copyOf(sends.keySet()).stream()
                .filter(name -> sends.get(name).isInFlight()
                        && sends.get(name).server.id.equals(server))
                .forEach(name -> after(name, outcome));
        return this;
    }

    Script gone(long id) {
        return print("gone " + id, coordinator.onClientGone(multigets.get(id), now));
    }

    Script unlisted() {
        return print("unlisted", coordinator.onDiscoveryUnavailable(now));
    }

    /** Time passes, with the calls that the coordinator asks for. */
    Script pass(double ms) {
        double until = now + ms;
        while (now + coordinator.timeToNextTimerMs(now) <= until) {
            now += coordinator.timeToNextTimerMs(now);
            Decisions decisions = coordinator.onTimer(now);
            if (!text(decisions).isEmpty()) {
                print("wait", decisions);
            }
        }
        now = until;
        return this;
    }

    /** The node has no turn for so long; then its due times come first, what came meanwhile after. */
    Script standStill(double ms) {
        coordinator.timeToNextTimerMs(now);
        now += ms;
        return print("back", coordinator.onTimer(now));
    }

    /** Until when the frame of a send may begin. */
    Script leaveBy(String name) {
        trace.append(
                String.format(Locale.ROOT, "%5.0f %s leaves by %.0f%n", now, name, sends.get(name).sendDeadlineMs));
        return this;
    }

    private Script print(String call, Decisions decisions) {
        trace.append(String.format(Locale.ROOT, "%5.0f %s ->%s%n", now, call, text(decisions)));
        return this;
    }

    private String text(Decisions decisions) {
        StringBuilder text = new StringBuilder();
        for (Attempt send : decisions.attempts) {
            text.append(' ').append(name(send)).append('@').append(send.server.id);
            sends.put(name(send), send);
        }
        for (Multiget mg : decisions.answers) {
            text.append(" [")
                    .append(mg.id)
                    .append(' ')
                    .append(traceName(mg.answer))
                    .append(']');
        }
        decisions.cancellations.forEach(send -> text.append(" x").append(name(send)));
        return text.append(decisions.watchEndpoints ? " follow" : "").toString();
    }

    /** The recorded traces keep the names that outcomes and answers had when they were made. */
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

    /** Multiget, shard, number of the attempt. */
    private static String name(Attempt send) {
        Part part = send.part;
        return part.multiget.id + "." + part.shard.number + "#" + send.number;
    }

    /** Compares with the trace that is kept under this name. */
    void matches(String name) {
        try (InputStream kept = Script.class.getResourceAsStream("/traces/" + name + ".txt")) {
            String expected = kept == null ? "" : new String(kept.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(trace.toString()).isEqualToNormalizingNewlines(expected);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
