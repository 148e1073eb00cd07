package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.Showing;
import spartrail.lab.experiment.Store;
import spartrail.lab.file.Document;

/** Shows one experiment. */
final class ExperimentShow extends Stored {
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
        try (Store store = store()) {
            Store.Kept kept = store.find(name);
            List<Store.Run> runs = store.runs(kept.id());
            if (json) {
                out.println(Document.JSON.writeValueAsString(runs));
            } else {
                out.print(Showing.tables(runs));
            }
            if (folder != null) {
                Showing.folder(folder, kept.name(), runs);
            }
        }
        return 0;
    }
}
