package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentPage;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.Document;

/** Prints the results of one experiment. */
final class ExperimentShow extends ExperimentCommand {
    @Argument(required = true, metaVar = "NAME", usage = "id or name of the experiment")
    private String name;

    @Option(name = "--json", usage = "print the runs as JSON")
    private boolean json;

    @Option(name = "--report", metaVar = "FOLDER", usage = "write tables, charts and an HTML page to this folder")
    private Path reportFolder;

    @Override
    String summary() {
        return "prints the results of an experiment as tables with confidence intervals; --report adds charts";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (ExperimentStore store = openStore()) {
            ExperimentStore.Kept experiment = store.find(name);
            List<ExperimentStore.Run> runs = store.runs(experiment.id());
            if (json) {
                out.println(Document.JSON.writeValueAsString(runs));
            } else {
                out.print(ExperimentPage.tables(runs));
            }
            if (reportFolder != null) {
                ExperimentPage.folder(reportFolder, experiment.name(), runs);
            }
        }
        return 0;
    }
}
