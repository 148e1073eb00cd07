package spartrail.lab.cli;

import java.nio.file.Path;
import java.sql.SQLException;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentStore;

/** A command that reads or writes the store of experiments. */
abstract class ExperimentCommand extends Command {
    @Option(
            name = "--store",
            metaVar = "FILE",
            usage = "the store file, without its suffix .mv.db (default ./experiments)")
    private Path file = Path.of("experiments");

    ExperimentStore openStore() throws SQLException {
        return new ExperimentStore(file);
    }
}
