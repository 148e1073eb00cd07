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

/** Creates the policy log of one voter when a fleet starts to use policy. */
final class PolicyBootstrap extends Command {
    @Argument(required = true, metaVar = "FOLDER", usage = "state folder of the node, as given to serve --state")
    private Path folder;

    @Option(
            name = "--fleet",
            metaVar = "NAME",
            required = true,
            usage = "name of the fleet, as in the peers file of the node")
    private String fleet;

    @Option(name = "--node", metaVar = "NAME", required = true, usage = "name of the node that owns the folder")
    private String node;

    @Option(
            name = "--decider",
            metaVar = "NAME",
            required = true,
            usage = "name of a voter; repeat for all three or five voters")
    private List<String> voters = new ArrayList<>();

    @Override
    String summary() {
        return "creates the policy log of a voter, once, when a fleet starts to use policy; never use it to replace a lost log";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws IOException {
        if (voters.size() != 3 && voters.size() != 5 || !voters.contains(node)) {
            throw new InvalidInputException(
                    "--decider: found " + voters + ", 3 or 5 names with " + node + " among them are expected");
        }
        AdminClient.bootstrap(folder, fleet, node, voters);
        out.println(folder + ": created the policy log of " + node + "; voters are " + voters);
        return 0;
    }
}
