package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.Document;

/** Lists the experiments of a store. */
final class ExperimentList extends ExperimentCommand {
    @Option(name = "--json", usage = "print the list as JSON")
    private boolean json;

    @Override
    String summary() {
        return "lists the experiments of a store with their counts of runs";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (ExperimentStore store = openStore()) {
            if (json) {
                out.println(Document.JSON.writeValueAsString(store.list()));
                return 0;
            }
            out.printf("%6s %-24s %-22s %6s %6s%n", "id", "name", "started", "runs", "done");
            store.list()
                    .forEach(experiment -> out.printf(
                            "%6d %-24s %-22s %6d %6d%n",
                            experiment.id(),
                            experiment.name(),
                            experiment.startedAt(),
                            experiment.runs(),
                            experiment.done()));
        }
        return 0;
    }
}
