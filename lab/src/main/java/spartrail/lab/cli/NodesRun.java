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

/** Plays a plan with processes and judges what they did. */
final class NodesRun extends Command {
    @Argument(required = true, metaVar = "PLAN", usage = "nodes, servers, load and what is done to them")
    private Path file;

    @Option(name = "--out", metaVar = "FOLDER", usage = "keep the merged history, the report, logs and a picture here")
    private Path folder;

    @Option(
            name = "--store",
            metaVar = "FILE",
            usage = "keep the report in this store of experiments, too; the plan needs load")
    private Path store;

    @Override
    String summary() {
        return "starts several front nodes, puts faults between them as a plan says, and judges their merged history";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        ClusterPlan plan = ClusterPlan.read(file);
        if (store != null && plan.load() == null) {
            throw new InvalidInputException(
                    "--store: " + file + " has no load, so there is no report to keep; --out keeps the history");
        }
        Path work = folder == null ? Files.createTempDirectory("spartrail-nodes") : Files.createDirectories(folder);
        try (ClusterHarness rig = new ClusterHarness(plan, work, line -> err.println(line))) {
            ClusterHarness.Outcome outcome = rig.play();
            List<ClusterHistory.Line> lines = outcome.history().inOrder();
            PeersRules rules = new HistoryChecker(plan.nodes()).check(lines, false);
            List<String> broken = new ArrayList<>();
            rules.breaches().forEach(breach -> broken.add("peers " + breach));
            outcome.rules().verdicts().stream()
                    .filter(verdict -> verdict.broken() > 0)
                    .forEach(verdict -> broken.add("rule: " + verdict.rule().text + ": " + verdict.broken() + " times, "
                            + verdict.examples()));
            outcome.unexecutedSteps()
                    .forEach(step -> broken.add("step " + step + " was not taken: what it waits for was not seen"));
            out.println(lines.size() + " lines of history, " + rules.judgedChanges() + " changes of views judged");
            outcome.nodes().forEach(out::println);
            broken.forEach(line -> out.println("BROKEN " + line));
            if (store != null) {
                enter(outcome, plan);
            }
            if (folder != null) {
                keep(lines, outcome, plan);
                out.println("kept in " + folder + ": history.jsonl, report.json, nodes.svg, logs");
            }
            return broken.isEmpty() ? 0 : 1;
        } finally {
            if (folder == null) {
                try (var files = Files.walk(work)) {
                    files.sorted(java.util.Comparator.reverseOrder())
                            .forEach(each -> each.toFile().delete());
                }
            }
        }
    }

    /** The report, as those of experiments are kept, so that `experiment show` and `compare` take it. */
    private void enter(ClusterHarness.Outcome outcome, ClusterPlan plan) throws SQLException {
        ObjectNode report = outcome.load().deepCopy();
        report.set("servers", outcome.servers());
        outcome.nodes().forEach(report.withArray("/nodes")::add);
        report.set("rules", Runner.rules(outcome.rules()));
        try (ExperimentStore kept = new ExperimentStore(store)) {
            long experiment = kept.begin(file.getFileName().toString(), Document.read(file, "nodes").tree);
            kept.complete(
                    kept.begin(
                            experiment,
                            new ExperimentPlan.Cell(
                                    plan.peers() == null ? "silent" : "talking", plan.nodes(), 1, plan.seed())),
                    report);
        }
    }

    private void keep(List<ClusterHistory.Line> lines, ClusterHarness.Outcome outcome, ClusterPlan plan)
            throws IOException {
        Files.writeString(folder.resolve("history.jsonl"), outcome.history().toJsonLines());
        JsonNode report = outcome.load() == null ? Document.JSON.createObjectNode() : outcome.load();
        Files.writeString(folder.resolve("report.json"), report.toPrettyString());
        Files.writeString(folder.resolve("nodes.svg"), TimelineChart.of(lines, plan.nodes()));
    }
}
