package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentPage;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.Document;

/** Shows one experiment. */
final class ExperimentShow extends ExperimentCommand {
    @Argument(required = true, metaVar = "NAME", usage = "an experiment's id or name")
    private String name;

    @Option(name = "--json", usage = "its runs as JSON")
    private boolean json;

    @Option(name = "--report", metaVar = "FOLDER", usage = "write tables, charts and a page there")
    private Path folder;

    @Override
    String summary() {
        return "shows an experiment: tables with intervals, and charts with --report";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (ExperimentStore store = store()) {
            ExperimentStore.Kept kept = store.find(name);
            List<ExperimentStore.Run> runs = store.runs(kept.id());
            if (json) {
                out.println(Document.JSON.writeValueAsString(runs));
            } else {
                out.print(ExperimentPage.tables(runs));
            }
            if (folder != null) {
                ExperimentPage.folder(folder, kept.name(), runs);
            }
        }
        return 0;
    }
}
