package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.InvalidInputException;

/** Bounds the store. */
final class ExperimentPrune extends ExperimentCommand {
    @Option(name = "--keep", metaVar = "N", required = true, usage = "keep the newest so many experiments")
    private int keep;

    @Override
    String summary() {
        return "forgets all but the newest experiments of a store";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        if (keep < 0) {
            throw new InvalidInputException("--keep: found " + keep + ", 0 or more is expected");
        }
        try (ExperimentStore store = store()) {
            out.println(store.prune(keep) + " forgotten");
        }
        return 0;
    }
}
