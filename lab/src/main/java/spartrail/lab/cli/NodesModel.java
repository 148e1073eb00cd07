package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.Set;
import org.kohsuke.args4j.Option;
import spartrail.lab.model.PolicyModel;
import spartrail.lab.model.PolicyModel.SearchResult;
import spartrail.lab.model.PolicyModel.Step;

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
        SearchResult complete = PolicyModel.search(nodes, lease, Set.of());
        out.println(nodes + " nodes, leases of " + lease + " ticks: " + complete.states() + " states, "
                + (complete.broken().isEmpty() ? "none of them wrong" : "BROKEN: " + complete.broken()));
        complete.trace().forEach(line -> out.println("  " + line));
        boolean good = complete.broken().isEmpty();
        for (Step step : Step.values()) {
            SearchResult result = PolicyModel.search(nodes, lease, Set.of(step));
            out.println("without " + step.description() + ": "
                    + (result.broken().isEmpty()
                            ? "NOT NEEDED, " + result.states() + " states"
                            : result.broken() + " after " + (result.trace().size() - 1) + " steps"));
            result.trace().forEach(line -> out.println("  " + line));
            good &= !result.broken().isEmpty();
        }
        return good ? 0 : 1;
    }
}
