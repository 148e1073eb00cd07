package spartrail.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import spartrail.provisioning.DeploymentFile;

/** Reads a configuration and says whether a node could start with it. */
public final class CheckCommand implements Command {
    @Argument(required = true, metaVar = "FILE")
    private Path config;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        DeploymentFile deployment = DeploymentFile.read(config);
        out.println("usable: node " + deployment.name() + " on " + deployment.listen() + ", op types "
                + deployment.opTypes().stream().map(op -> op.name).toList() + ", " + deployment.known().lines().size()
                + " servers known");
        return 0;
    }
}
