package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.Set;
import org.kohsuke.args4j.Option;
import spartrail.lab.model.PolicyModel;
import spartrail.lab.model.PolicyModel.SearchResult;
import spartrail.lab.model.PolicyModel.Step;

/** Searches the model of the policy protocol exhaustively: first complete, then with each step omitted in turn. */
final class NodesModel extends Command {
    @Option(name = "--nodes", metaVar = "N", usage = "number of nodes, 2 to 4 (default 3)")
    private int nodes = 3;

    @Option(name = "--lease", metaVar = "TICKS", usage = "duration of a lease, 1 to 3 (default 1)")
    private int leaseTicks = 1;

    @Override
    String summary() {
        return "searches all states of a model of policy versions; exits with status 1 if a state is wrong or a step is not needed";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        SearchResult complete = PolicyModel.search(nodes, leaseTicks, Set.of());
        out.println(nodes + " nodes, leases of " + leaseTicks + " ticks: " + complete.states() + " states, "
                + (complete.broken().isEmpty() ? "none of them wrong" : "BROKEN: " + complete.broken()));
        complete.trace().forEach(line -> out.println("  " + line));
        boolean passed = complete.broken().isEmpty();
        for (Step step : Step.values()) {
            SearchResult result = PolicyModel.search(nodes, leaseTicks, Set.of(step));
            out.println("without " + step.description() + ": "
                    + (result.broken().isEmpty()
                            ? "NOT NEEDED, " + result.states() + " states"
                            : result.broken() + " after " + (result.trace().size() - 1) + " steps"));
            result.trace().forEach(line -> out.println("  " + line));
            passed &= !result.broken().isEmpty();
        }
        return passed ? 0 : 1;
    }
}
