package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.cluster.ClusterHarness;
import spartrail.lab.cluster.ClusterHistory;
import spartrail.lab.cluster.ClusterPlan;
import spartrail.lab.cluster.HistoryChecker;
import spartrail.lab.cluster.TimelineChart;
import spartrail.lab.experiment.ExperimentPlan;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.experiment.Runner;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.rules.PeersRules;

/** Runs a plan with front nodes in processes of their own and checks their merged history against the rules. */
final class NodesRun extends Command {
    @Argument(required = true, metaVar = "PLAN", usage = "file that describes the nodes, servers, load and faults")
    private Path file;

    @Option(
            name = "--out",
            metaVar = "FOLDER",
            usage = "write the merged history, the report, the logs and a timeline chart to this folder")
    private Path outputFolder;

    @Option(
            name = "--store",
            metaVar = "FILE",
            usage = "also write the report to this store of experiments; the plan must contain load")
    private Path store;

    @Override
    String summary() {
        return "starts several front nodes, injects the faults of a plan and checks the merged history of the nodes";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        ClusterPlan plan = ClusterPlan.read(file);
        if (store != null && plan.load() == null) {
            throw new InvalidInputException("--store: " + file
                    + " has no load, so there is no report to store; use --out to write the history");
        }
        Path work = outputFolder == null
                ? Files.createTempDirectory("spartrail-nodes")
                : Files.createDirectories(outputFolder);
        try (ClusterHarness harness = new ClusterHarness(plan, work, line -> err.println(line))) {
            ClusterHarness.Outcome outcome = harness.play();
            List<ClusterHistory.Line> lines = outcome.history().inOrder();
            PeersRules rules = new HistoryChecker(plan.nodes()).check(lines, false);
            List<String> broken = new ArrayList<>();
            rules.breaches().forEach(breach -> broken.add("peers " + breach));
            outcome.rules().verdicts().stream()
                    .filter(verdict -> verdict.broken() > 0)
                    .forEach(verdict -> broken.add("rule: " + verdict.rule().text + ": " + verdict.broken() + " times, "
                            + verdict.examples()));
            outcome.unexecutedSteps()
                    .forEach(step ->
                            broken.add("step " + step + " was not run: the event that it waits for did not occur"));
            out.println(lines.size() + " lines of history, " + rules.judgedChanges() + " view changes checked");
            outcome.nodes().forEach(out::println);
            broken.forEach(line -> out.println("BROKEN " + line));
            if (store != null) {
                storeReport(outcome, plan);
            }
            if (outputFolder != null) {
                writeOutput(lines, outcome, plan);
                out.println("written to " + outputFolder + ": history.jsonl, report.json, nodes.svg, logs");
            }
            return broken.isEmpty() ? 0 : 1;
        } finally {
            if (outputFolder == null) {
                try (var files = Files.walk(work)) {
                    files.sorted(java.util.Comparator.reverseOrder())
                            .forEach(path -> path.toFile().delete());
                }
            }
        }
    }

    /** Stores the report as that of an experiment, so that `experiment show` and `experiment compare` can read it. */
    private void storeReport(ClusterHarness.Outcome outcome, ClusterPlan plan) throws SQLException {
        ObjectNode report = outcome.load().deepCopy();
        report.set("servers", outcome.servers());
        outcome.nodes().forEach(report.withArray("/nodes")::add);
        report.set("rules", Runner.rules(outcome.rules()));
        try (ExperimentStore experiments = new ExperimentStore(store)) {
            long experiment = experiments.begin(file.getFileName().toString(), Document.read(file, "nodes").tree);
            experiments.complete(
                    experiments.begin(
                            experiment,
                            new ExperimentPlan.Cell(
                                    plan.peers() == null ? "silent" : "talking", plan.nodes(), 1, plan.seed())),
                    report);
        }
    }

    private void writeOutput(List<ClusterHistory.Line> lines, ClusterHarness.Outcome outcome, ClusterPlan plan)
            throws IOException {
        Files.writeString(
                outputFolder.resolve("history.jsonl"), outcome.history().toJsonLines());
        JsonNode report = outcome.load() == null ? Document.JSON.createObjectNode() : outcome.load();
        Files.writeString(outputFolder.resolve("report.json"), report.toPrettyString());
        Files.writeString(outputFolder.resolve("nodes.svg"), TimelineChart.of(lines, plan.nodes()));
    }
}
