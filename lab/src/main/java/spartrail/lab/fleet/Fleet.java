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

/** Stand-in servers and the roll that lists them; what its script says is done to them in time. */
public final class Fleet implements AutoCloseable {
    private final FleetPlan plan;
    private final SocketLoop loop;
    private final FleetListener listener;
    private final Map<String, IndexServerEmulator> servers = new LinkedHashMap<>();
    private final List<DiscoveryEmulator> rolls = new ArrayList<>();
    private final SplittableRandom chance;

    /** Listens from here on; the script begins with {@link #play}. */
    public Fleet(FleetPlan plan, FleetListener listener) throws IOException {
        this.plan = plan;
        this.listener = listener;
        this.loop = new SocketLoop("spartrail-fleet");
        this.chance = new SplittableRandom(plan.seed());
        try {
            int at = 0;
            for (FleetPlan.ServerSpec line : plan.servers()) {
                IndexServerEmulator stand =
                        new IndexServerEmulator(loop, line, chance.split(), listener, () -> fell(line.id()));
                stand.listen(plan.nodes(), plan.firstPort() == 0 ? 0 : plan.firstPort() + plan.nodes() * at++);
                servers.put(line.id(), stand);
            }
            for (int node = 0; node < plan.nodes(); node++) {
                List<DiscoveryEmulator.Line> lines = new ArrayList<>();
                for (IndexServerEmulator stand : servers.values()) {
                    lines.add(new DiscoveryEmulator.Line(stand.line, "127.0.0.1:" + stand.port(node)));
                }
                rolls.add(new DiscoveryEmulator(
                        loop,
                        node,
                        new InetSocketAddress("127.0.0.1", plan.rollPort() == 0 ? 0 : plan.rollPort() + node),
                        lines,
                        listener));
            }
        } catch (IOException e) {
            loop.close();
            throw new IOException("the fleet cannot listen: " + e.getMessage(), e);
        }
    }

    public FleetPlan plan() {
        return plan;
    }

    public SocketLoop loop() {
        return loop;
    }

    public String discoveryAddress(int node) {
        return "127.0.0.1:" + rolls.get(node).port();
    }

    public String serverAddress(int node, String server) {
        return "127.0.0.1:" + servers.get(server).port(node);
    }

    /** The whole list as a node has it at its start. */
    public String hostListJson(int node) {
        String[] list = new String[1];
        loop.call(() -> list[0] = rolls.get(node).list());
        return list[0];
    }

    /** The script's time begins now. */
    public void startScript() {
        double fromMs = loop.nowMs();
        loop.execute(() -> plan.script().forEach(deed -> loop.schedule(fromMs + deed.atMs(), () -> carryOut(deed))));
    }

    /** Does one thing by hand: {@code WHAT SERVER[,SERVER] [BY] [LASTS_MS]}. */
    public void runCommand(String words) {
        String[] word = words.trim().split("\\s+");
        List<String> whom = word.length < 2 || word[1].equals("-") ? List.of() : List.of(word[1].split(","));
        for (String id : whom) {
            if (!servers.containsKey(id)) {
                throw new InvalidInputException("no server is named " + id + "; there are " + servers.keySet());
            }
        }
        if (!DEEDS.contains(word[0])) {
            throw new InvalidInputException("'" + word[0] + "' is none of " + DEEDS);
        }
        try {
            double by = word.length > 2 ? Double.parseDouble(word[2]) : 1;
            double lastsMs = word.length > 3 ? Double.parseDouble(word[3]) : 0;
            loop.execute(() -> carryOut(new FleetPlan.Deed(0, word[0], whom, List.of(), by, lastsMs)));
        } catch (NumberFormatException e) {
            throw new InvalidInputException("'" + words + "': a number is expected after the servers");
        }
    }

    static final List<String> DEEDS = List.of(
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

    private List<DiscoveryEmulator> rollsOf(FleetPlan.Deed deed) {
        return deed.nodes().isEmpty()
                ? rolls
                : deed.nodes().stream()
                        .filter(node -> node < rolls.size())
                        .map(rolls::get)
                        .toList();
    }

    private void carryOut(FleetPlan.Deed deed) {
        listener.onAction(deed.what() + " " + String.join(",", deed.servers()), loop.nowMs());
        double by = deed.by();
        double lastsMs = deed.lastsMs();
        switch (deed.what()) {
            case "roll-silent" -> {
                rollsOf(deed).forEach(roll -> roll.silent(true));
                after(lastsMs, () -> rollsOf(deed).forEach(roll -> roll.silent(false)));
            }
            case "roll-stale" -> {
                rollsOf(deed).forEach(roll -> roll.stale(true));
                after(lastsMs, () -> rollsOf(deed).forEach(roll -> roll.stale(false)));
            }
            default -> deed.servers().forEach(id -> carryOut(deed.what(), servers.get(id), by, lastsMs));
        }
    }

    private void carryOut(String what, IndexServerEmulator server, double by, double lastsMs) {
        String id = server.line.id();
        switch (what) {
            case "slow" -> {
                server.slow(by);
                after(lastsMs, () -> server.slow(1));
            }
            case "pause" -> server.pause(lastsMs);
            case "neighbour" -> {
                server.neighbour(Math.min(0.99, by));
                after(lastsMs, () -> server.neighbour(0));
            }
            case "error" -> {
                server.errors(by);
                after(lastsMs, () -> server.errors(server.line.profile().errorShare()));
            }
            case "spoil" -> {
                server.spoils(by);
                after(lastsMs, () -> server.spoils(0));
            }
            case "hang" -> {
                server.hang(true);
                after(lastsMs, () -> server.hang(false));
            }
            case "silent" -> {
                server.silent(true);
                after(lastsMs, () -> server.silent(false));
            }
            case "handshake" -> {
                server.handshake(by);
                after(lastsMs, () -> server.handshake(server.line.profile().handshakeMs()));
            }
            case "drain" -> tell(id, "DRAINING", 0, plan.noticeMs());
            case "undrain" -> tell(id, "SERVING", 0, plan.noticeMs());
            case "remove" -> tell(id, "DELETED", 0, plan.noticeMs());
            case "kill" -> {
                server.kill();
                tell(id, "DELETED", 0, plan.silentNoticeMs());
            }
            case "start" -> start(server);
                // A planned restart: it drains, is gone for a while and comes back cold under its name.
            default -> {
                tell(id, "DRAINING", 0, plan.noticeMs());
                after(Math.max(1, lastsMs / 2), () -> {
                    server.kill();
                    tell(id, "DELETED", 0, plan.noticeMs());
                });
                after(Math.max(2, lastsMs), () -> start(server));
            }
        }
    }

    private void start(IndexServerEmulator server) {
        server.start();
        tell(server.line.id(), "SERVING", loop.nowMs(), plan.noticeMs());
    }

    private void fell(String id) {
        IndexServerEmulator server = servers.get(id);
        tell(id, "DELETED", 0, plan.silentNoticeMs());
        if (Double.isFinite(server.line.profile().downMs())) {
            after(server.line.profile().downMs(), () -> start(server));
        }
    }

    private void tell(String id, String state, double bornMs, double afterMs) {
        double changedMs = loop.nowMs();
        loop.schedule(changedMs + afterMs, () -> rolls.forEach(roll -> roll.change(id, state, bornMs, changedMs)));
    }

    private void after(double ms, Runnable what) {
        if (ms > 0) {
            loop.schedule(loop.nowMs() + ms, what);
        }
    }

    /** What each server took and how it ended. */
    public ObjectNode figures() {
        ObjectNode tree = Document.JSON.createObjectNode();
        loop.call(() -> servers.forEach((id, server) -> {
            ObjectNode line = tree.putObject(id);
            new TreeMap<>(server.counts()).forEach(line::put);
            line.put("workDoneMs", Math.round(server.model.doneMs()));
            line.put("worstColdLoad", Math.round(1000 * server.model.worstLoad()) / 1000.0);
        }));
        return tree;
    }

    /** One line a server. */
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
        rolls.forEach(DiscoveryEmulator::close);
        loop.close();
    }
}
