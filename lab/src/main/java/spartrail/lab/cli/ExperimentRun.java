package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentPage;
import spartrail.lab.experiment.ExperimentPlan;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.experiment.Runner;
import sun.misc.Signal;

/** Runs each cell of an experiment's matrix and writes the results to the store. */
final class ExperimentRun extends ExperimentCommand {
    @Argument(required = true, metaVar = "FILE", usage = "file that describes the experiment")
    private Path file;

    @Option(
            name = "--report",
            metaVar = "FOLDER",
            usage = "write tables, charts and an HTML page to this folder at the end")
    private Path reportFolder;

    @Override
    String summary() {
        return "runs servers, front nodes and load for each cell of a matrix and stores the results";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        ExperimentPlan plan = ExperimentPlan.read(file);
        AtomicBoolean stopped = new AtomicBoolean();
        boolean allRulesKept = true;
        try (ExperimentStore store = openStore();
                LiveView live = new LiveView(err, List::of)) {
            Signal.handle(new Signal("INT"), signal -> stopped.set(true));
            long experiment = store.begin(plan);
            Runner runner = new Runner(plan, live::show, stopped::get);
            List<ExperimentPlan.Cell> cells = plan.cells();
            for (int i = 0; i < cells.size() && !stopped.get(); i++) {
                ExperimentPlan.Cell cell = cells.get(i);
                long run = store.begin(experiment, cell);
                ObjectNode report = runner.play(cell);
                if (!stopped.get()) {
                    store.complete(run, report);
                }
                boolean rulesKept = report.at("/rules/kept").asBoolean();
                allRulesKept &= rulesKept;
                out.printf(
                        Locale.ROOT,
                        "%d of %d: %s, seed %d: served %d of %d tries, p99 %.1f ms, rules %s%s%n",
                        i + 1,
                        cells.size(),
                        cell.group(),
                        cell.seed(),
                        report.at("/served/count").asLong(),
                        report.get("tries").asLong(),
                        report.at("/served/latencyMs/p99").asDouble(),
                        rulesKept ? "kept" : "BROKEN " + report.at("/rules/verdicts"),
                        report.get("fit").asBoolean()
                                ? ""
                                : ", UNFIT: " + report.get("unfitWhy").asText());
            }
            List<ExperimentStore.Run> runs = store.runs(experiment);
            out.print(ExperimentPage.tables(runs));
            if (reportFolder != null) {
                ExperimentPage.folder(reportFolder, plan.name(), runs);
                out.println("report: " + reportFolder.resolve("index.html"));
            }
        }
        return allRulesKept && !stopped.get() ? 0 : 1;
    }
}
