package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.Set;
import org.kohsuke.args4j.Option;
import spartrail.lab.model.PolicyModel;
import spartrail.lab.model.PolicyModel.Found;
import spartrail.lab.model.PolicyModel.Left;

/** Searches the model of policy, whole and with one step left out after the other. */
final class NodesModel extends Command {
    @Option(name = "--nodes", metaVar = "N", usage = "so many nodes, 2 to 4 (default 3)")
    private int nodes = 3;

    @Option(name = "--lease", metaVar = "TICKS", usage = "a lease lasts so long, 1 to 3 (default 1)")
    private int lease = 1;

    @Override
    String summary() {
        return "searches a model of how a version of policy takes hold to its end; status 1 where it breaks, or a step is not needed";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        Found whole = PolicyModel.search(nodes, lease, Set.of());
        out.println(nodes + " nodes, leases of " + lease + " ticks: " + whole.states() + " states, "
                + (whole.broken().isEmpty() ? "none of them wrong" : "BROKEN: " + whole.broken()));
        whole.trace().forEach(line -> out.println("  " + line));
        boolean good = whole.broken().isEmpty();
        for (Left left : Left.values()) {
            Found found = PolicyModel.search(nodes, lease, Set.of(left));
            out.println("without " + left.what + ": "
                    + (found.broken().isEmpty()
                            ? "NOT NEEDED, " + found.states() + " states"
                            : found.broken() + " after " + (found.trace().size() - 1) + " steps"));
            found.trace().forEach(line -> out.println("  " + line));
            good &= !found.broken().isEmpty();
        }
        return good ? 0 : 1;
    }
}
