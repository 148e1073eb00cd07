package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.InvalidInputException;

/** Deletes the oldest experiments of a store to limit its size. */
final class ExperimentPrune extends ExperimentCommand {
    @Option(name = "--keep", metaVar = "N", required = true, usage = "number of newest experiments to keep")
    private int keep;

    @Override
    String summary() {
        return "deletes all but the newest experiments of a store";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        if (keep < 0) {
            throw new InvalidInputException("--keep: found " + keep + ", 0 or more is expected");
        }
        try (ExperimentStore store = openStore()) {
            out.println(store.prune(keep) + " experiments deleted");
        }
        return 0;
    }
}
