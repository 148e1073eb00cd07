package spartrail.lab.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.InvalidInputException;
import spartrail.policy.replication.AdminClient;

/** Makes the log of one deciding node of a new set. */
final class PolicyBootstrap extends Command {
    @Argument(required = true, metaVar = "FOLDER", usage = "the node's folder, as serve --state names it")
    private Path folder;

    @Option(name = "--fleet", metaVar = "NAME", required = true, usage = "the fleet's name, as in the peers' file")
    private String fleet;

    @Option(name = "--node", metaVar = "NAME", required = true, usage = "the node whose folder it is")
    private String node;

    @Option(name = "--decider", metaVar = "NAME", required = true, usage = "a node that decides; three or five of them")
    private List<String> deciders = new ArrayList<>();

    @Override
    String summary() {
        return "makes the log of a deciding node, once, when a fleet begins to have policy; never in the place of a lost one";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws IOException {
        if (deciders.size() != 3 && deciders.size() != 5 || !deciders.contains(node)) {
            throw new InvalidInputException(
                    "--decider: found " + deciders + ", 3 or 5 names with " + node + " among them are expected");
        }
        AdminClient.bootstrap(folder, fleet, node, deciders);
        out.println(folder + ": a log of policy for " + node + " of " + deciders);
        return 0;
    }
}
