package spartrail.lab.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.net.SocketLoop;

/** Emulated index servers and discovery services; runs the fault script of its plan against them. */
public final class Fleet implements AutoCloseable {
    private final FleetPlan plan;
    private final SocketLoop loop;
    private final FleetListener listener;
    private final Map<String, IndexServerEmulator> servers = new LinkedHashMap<>();
    private final List<DiscoveryEmulator> discoveries = new ArrayList<>();
    private final SplittableRandom random;

    /** Opens the ports of all servers and discovery services; the script begins with {@link #startScript}. */
    public Fleet(FleetPlan plan, FleetListener listener) throws IOException {
        this.plan = plan;
        this.listener = listener;
        this.loop = new SocketLoop("spartrail-fleet");
        this.random = new SplittableRandom(plan.seed());
        try {
            int index = 0;
            for (FleetPlan.ServerSpec spec : plan.servers()) {
                IndexServerEmulator server =
                        new IndexServerEmulator(loop, spec, random.split(), listener, () -> handleCrash(spec.id()));
                server.listen(plan.nodes(), plan.firstPort() == 0 ? 0 : plan.firstPort() + plan.nodes() * index++);
                servers.put(spec.id(), server);
            }
            for (int node = 0; node < plan.nodes(); node++) {
                List<DiscoveryEmulator.HostEntry> entries = new ArrayList<>();
                for (IndexServerEmulator server : servers.values()) {
                    entries.add(new DiscoveryEmulator.HostEntry(server.spec, "127.0.0.1:" + server.port(node)));
                }
                discoveries.add(new DiscoveryEmulator(
                        loop,
                        node,
                        new InetSocketAddress("127.0.0.1", plan.discoveryPort() == 0 ? 0 : plan.discoveryPort() + node),
                        entries,
                        listener));
            }
        } catch (IOException e) {
            loop.close();
            throw new IOException("cannot open the ports of the fleet: " + e.getMessage(), e);
        }
    }

    public FleetPlan plan() {
        return plan;
    }

    public SocketLoop loop() {
        return loop;
    }

    public String discoveryAddress(int node) {
        return "127.0.0.1:" + discoveries.get(node).port();
    }

    public String serverAddress(int node, String server) {
        return "127.0.0.1:" + servers.get(server).port(node);
    }

    /** The whole host list that discovery now reports to a node, as JSON. */
    public String hostListJson(int node) {
        String[] json = new String[1];
        loop.call(() -> json[0] = discoveries.get(node).hostListJson());
        return json[0];
    }

    /** Starts the script: its times count from now. */
    public void startScript() {
        double startMs = loop.nowMs();
        loop.execute(
                () -> plan.script().forEach(action -> loop.schedule(startMs + action.atMs(), () -> perform(action))));
    }

    /** Runs one action that an operator has typed: {@code ACTION SERVER[,SERVER] [AMOUNT] [LASTS_MS]}. */
    public void runCommand(String command) {
        String[] words = command.trim().split("\\s+");
        List<String> serverIds = words.length < 2 || words[1].equals("-") ? List.of() : List.of(words[1].split(","));
        for (String id : serverIds) {
            if (!servers.containsKey(id)) {
                throw new InvalidInputException("unknown server '" + id + "'; expected one of " + servers.keySet());
            }
        }
        if (!ACTIONS.contains(words[0])) {
            throw new InvalidInputException("unknown action '" + words[0] + "'; expected one of " + ACTIONS);
        }
        try {
            double amount = words.length > 2 ? Double.parseDouble(words[2]) : 1;
            double lastsMs = words.length > 3 ? Double.parseDouble(words[3]) : 0;
            loop.execute(() -> perform(new FleetPlan.ScriptAction(0, words[0], serverIds, List.of(), amount, lastsMs)));
        } catch (NumberFormatException e) {
            throw new InvalidInputException("invalid command '" + command + "': expected numbers after the servers");
        }
    }

    static final List<String> ACTIONS = List.of(
            "slow",
            "pause",
            "neighbour",
            "error",
            "spoil",
            "hang",
            "silent",
            "handshake",
            "drain",
            "undrain",
            "restart",
            "kill",
            "start",
            "remove",
            "roll-silent",
            "roll-stale");

    private List<DiscoveryEmulator> discoveriesOf(FleetPlan.ScriptAction action) {
        return action.nodes().isEmpty()
                ? discoveries
                : action.nodes().stream()
                        .filter(node -> node < discoveries.size())
                        .map(discoveries::get)
                        .toList();
    }

    private void perform(FleetPlan.ScriptAction action) {
        listener.onAction(action.name() + " " + String.join(",", action.servers()), loop.nowMs());
        double amount = action.amount();
        double lastsMs = action.lastsMs();
        switch (action.name()) {
            case "roll-silent" -> {
                discoveriesOf(action).forEach(discovery -> discovery.setSilent(true));
                scheduleAfter(lastsMs, () -> discoveriesOf(action).forEach(discovery -> discovery.setSilent(false)));
            }
            case "roll-stale" -> {
                discoveriesOf(action).forEach(discovery -> discovery.setStale(true));
                scheduleAfter(lastsMs, () -> discoveriesOf(action).forEach(discovery -> discovery.setStale(false)));
            }
            default -> action.servers().forEach(id -> perform(action.name(), servers.get(id), amount, lastsMs));
        }
    }

    private void perform(String name, IndexServerEmulator server, double amount, double lastsMs) {
        String id = server.spec.id();
        switch (name) {
            case "slow" -> {
                server.setSlowdown(amount);
                scheduleAfter(lastsMs, () -> server.setSlowdown(1));
            }
            case "pause" -> server.pause(lastsMs);
            case "neighbour" -> {
                server.setNeighbourShare(Math.min(0.99, amount));
                scheduleAfter(lastsMs, () -> server.setNeighbourShare(0));
            }
            case "error" -> {
                server.setErrorShare(amount);
                scheduleAfter(
                        lastsMs,
                        () -> server.setErrorShare(server.spec.profile().errorShare()));
            }
            case "spoil" -> {
                server.setCorruptShare(amount);
                scheduleAfter(lastsMs, () -> server.setCorruptShare(0));
            }
            case "hang" -> {
                server.setHanging(true);
                scheduleAfter(lastsMs, () -> server.setHanging(false));
            }
            case "silent" -> {
                server.setSilent(true);
                scheduleAfter(lastsMs, () -> server.setSilent(false));
            }
            case "handshake" -> {
                server.setHandshakeMs(amount);
                scheduleAfter(
                        lastsMs,
                        () -> server.setHandshakeMs(server.spec.profile().handshakeMs()));
            }
            case "drain" -> scheduleStateChange(id, "DRAINING", 0, plan.noticeMs());
            case "undrain" -> scheduleStateChange(id, "SERVING", 0, plan.noticeMs());
            case "remove" -> scheduleStateChange(id, "DELETED", 0, plan.noticeMs());
            case "kill" -> {
                server.kill();
                scheduleStateChange(id, "DELETED", 0, plan.silentNoticeMs());
            }
            case "start" -> start(server);
                // "restart", a planned one: the server drains, is down for a while and starts cold under the same id.
            default -> {
                scheduleStateChange(id, "DRAINING", 0, plan.noticeMs());
                scheduleAfter(Math.max(1, lastsMs / 2), () -> {
                    server.kill();
                    scheduleStateChange(id, "DELETED", 0, plan.noticeMs());
                });
                scheduleAfter(Math.max(2, lastsMs), () -> start(server));
            }
        }
    }

    private void start(IndexServerEmulator server) {
        server.start();
        scheduleStateChange(server.spec.id(), "SERVING", loop.nowMs(), plan.noticeMs());
    }

    private void handleCrash(String id) {
        IndexServerEmulator server = servers.get(id);
        scheduleStateChange(id, "DELETED", 0, plan.silentNoticeMs());
        if (Double.isFinite(server.spec.profile().downMs())) {
            scheduleAfter(server.spec.profile().downMs(), () -> start(server));
        }
    }

    private void scheduleStateChange(String id, String state, double startedMs, double afterMs) {
        double changedMs = loop.nowMs();
        loop.schedule(
                changedMs + afterMs,
                () -> discoveries.forEach(discovery -> discovery.changeState(id, state, startedMs, changedMs)));
    }

    private void scheduleAfter(double ms, Runnable task) {
        if (ms > 0) {
            loop.schedule(loop.nowMs() + ms, task);
        }
    }

    /** Counts of each server: connections, parts by their end, crashes, work done. */
    public ObjectNode figures() {
        ObjectNode tree = Document.JSON.createObjectNode();
        loop.call(() -> servers.forEach((id, server) -> {
            ObjectNode line = tree.putObject(id);
            new TreeMap<>(server.counts()).forEach(line::put);
            line.put("workDoneMs", Math.round(server.model.workDoneMs()));
            line.put("worstColdLoad", Math.round(1000 * server.model.worstLoad()) / 1000.0);
        }));
        return tree;
    }

    /** The same counts as a table with one line per server. */
    public String text() {
        StringBuilder out = new StringBuilder(String.format(
                Locale.ROOT,
                "%-8s %10s %10s %8s %8s %8s %12s %10s%n",
                "server",
                "parts",
                "OK",
                "ERROR",
                "REJECTED",
                "falls",
                "work done ms",
                "cold load"));
        figures()
                .fields()
                .forEachRemaining(field -> out.append(String.format(
                        Locale.ROOT,
                        "%-8s %10d %10d %8d %8d %8d %12d %10.3f%n",
                        field.getKey(),
                        field.getValue().path("parts").asLong(),
                        field.getValue().path("OK").asLong(),
                        field.getValue().path("ERROR").asLong(),
                        field.getValue().path("REJECTED").asLong(),
                        field.getValue().path("falls").asLong(),
                        field.getValue().path("workDoneMs").asLong(),
                        field.getValue().path("worstColdLoad").asDouble())));
        return out.toString();
    }

    @Override
    public void close() {
        loop.call(() -> servers.values().forEach(IndexServerEmulator::close));
        discoveries.forEach(DiscoveryEmulator::close);
        loop.close();
    }
}
