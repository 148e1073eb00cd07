package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetListener;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.RuleChecker;

/** Runs one cell of an experiment's matrix: starts a fleet and front nodes, sends the load and checks the rules. */
public final class Runner {
    /** An action of the fleet's script, or a server's fall, and its time. */
    private record Event(double atMs, String action) {}

    private final ExperimentPlan plan;
    private final Consumer<LoadSession.Snapshot> progress;
    private final BooleanSupplier stopped;

    public Runner(ExperimentPlan plan, Consumer<LoadSession.Snapshot> progress, BooleanSupplier stopped) {
        this.plan = plan;
        this.progress = progress;
        this.stopped = stopped;
    }

    /** Runs the cell; returns the report of the load with sections on the servers, nodes, events and rules. */
    public ObjectNode play(ExperimentPlan.Cell cell) throws IOException, InterruptedException {
        FleetPlan fleetPlan = plan.fleet().withSeedAndNodes(plan.fleet().seed() * 31 + cell.seed(), cell.nodes());
        RuleChecker checker = new RuleChecker(plan.node().terms());
        List<Event> events = java.util.Collections.synchronizedList(new ArrayList<>());
        Path folder = Files.createTempDirectory("spartrail-run");
        List<NodeProcess> nodes = new ArrayList<>();
        try (Fleet fleet = new Fleet(fleetPlan, recordingListener(checker, events))) {
            List<LoadPlan.Target> targets = new ArrayList<>();
            for (int node = 0; node < cell.nodes(); node++) {
                int port = NodeProcess.freePort();
                ObjectNode config = plan.node().config(node, cell.nodes(), "127.0.0.1:" + port, fleet, cell.seed());
                nodes.add(NodeProcess.start(
                        plan.versions().get(cell.version()),
                        config,
                        folder,
                        "n" + node,
                        plan.node().memoryMb()));
                List<String> zones = NodeSettings.zones(fleetPlan);
                targets.add(new LoadPlan.Target("127.0.0.1", port, zones.get(node % zones.size())));
            }
            LoadPlan load = plan.load()
                    .withSeedAndRateFactor(plan.load().seed() * 31 + cell.seed(), cell.times())
                    .withTargets(targets);
            double[] cpuMs = nodes.stream().mapToDouble(NodeProcess::cpuMs).toArray();
            try (LoadSession session = new LoadSession(load, load.arrivals(), load.durationMs(), checker)) {
                double startMs = fleet.loop().nowMs();
                fleet.startScript();
                while (!session.await(500)) {
                    progress.accept(session.snapshot());
                    if (stopped.getAsBoolean()) {
                        session.stop("ended by SIGINT before the plan was through");
                    }
                }
                ObjectNode report = session.report();
                ObjectNode servers = fleet.figures();
                servers.forEach(server ->
                        checker.recordColdLoad(server.path("worstColdLoad").asDouble()));
                report.set("servers", servers);
                ArrayNode processes = report.putArray("nodes");
                for (int i = 0; i < nodes.size(); i++) {
                    processes
                            .addObject()
                            .put("cpuMs", Math.round(nodes.get(i).cpuMs() - cpuMs[i]))
                            .put("memoryMb", Math.round(nodes.get(i).memoryMb()))
                            .put("alive", nodes.get(i).handle().isAlive());
                }
                ArrayNode eventArray = report.putArray("events");
                List.copyOf(events).forEach(event -> eventArray
                        .addObject()
                        .put("atMs", Math.round(event.atMs() - startMs))
                        .put("what", event.action()));
                report.set("rules", rules(checker));
                return report;
            }
        } finally {
            nodes.forEach(NodeProcess::close);
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.deleteIfExists(folder);
        }
    }

    /** The verdicts on all rules, as they stand in a report. */
    public static ObjectNode rules(RuleChecker checker) {
        ObjectNode tree = Document.JSON.createObjectNode();
        tree.put("kept", checker.isKept());
        ArrayNode verdicts = tree.putArray("verdicts");
        checker.verdicts().forEach(verdict -> {
            ObjectNode line = verdicts.addObject()
                    .put("rule", verdict.rule().name())
                    .put("asked", verdict.asked())
                    .put("broken", verdict.broken());
            ArrayNode examples = line.putArray("examples");
            verdict.examples().forEach(examples::add);
        });
        return tree;
    }

    private static FleetListener recordingListener(RuleChecker checker, List<Event> events) {
        return watching(checker, (action, atMs) -> events.add(new Event(atMs, action)));
    }

    /**
     * A listener that passes what servers and the discovery service observe to the rule checker, and actions of the
     * script and falls of servers also to {@code done}.
     */
    public static FleetListener watching(RuleChecker checker, BiConsumer<String, Double> done) {
        return new FleetListener() {
            @Override
            public void onPartReceived(int node, String server, String partId, double atMs) {
                checker.onPartReceived(node, server, partId, atMs);
            }

            @Override
            public void onPartEnded(
                    int node, String server, String partId, spartrail.lab.fleet.ServerModel.End end, double atMs) {
                checker.onPartEnded(node, server, partId, end, atMs);
            }

            @Override
            public void onStateWritten(
                    int node, String server, String state, double bornMs, double changedMs, double atMs) {
                checker.onStateWritten(node, server, state, bornMs, changedMs, atMs);
            }

            @Override
            public void onStateChanged(int node, String server, String state, double atMs) {
                checker.onStateChanged(node, server, state, atMs);
            }

            @Override
            public void onServerCrashed(String server, double load, double atMs) {
                checker.onServerCrashed(server, load, atMs);
                done.accept(server + " fell over", atMs);
            }

            @Override
            public void onAction(String action, double atMs) {
                done.accept(action, atMs);
            }
        };
    }
}
