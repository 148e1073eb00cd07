package spartrail.lab.cli;

import java.nio.file.Path;
import java.sql.SQLException;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.Store;

/** A command on the store of experiments. */
abstract class Stored extends Command {
    @Option(name = "--store", metaVar = "FILE", usage = "the store, without its ending .mv.db (default ./experiments)")
    private Path file = Path.of("experiments");

    Store store() throws SQLException {
        return new Store(file);
    }
}
