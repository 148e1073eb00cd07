package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Mutations;

/** Plants faults in the peers' source and plays the seeds with each. */
final class NodesPlanted extends Command {
    @Option(name = "--seeds", metaVar = "N", usage = "seeds 1 to N, until one finds the fault (default 300)")
    private long seeds = 300;

    @Option(name = "--most", metaVar = "NODES", usage = "3 to so many nodes (default 60)")
    private int most = 60;

    @Option(name = "--policy", usage = "in the source of versions of policy")
    private boolean policy;

    @Override
    String summary() {
        return "plants faults in the source, one at a time, and shows which seed and rule finds each; status 1 if one is missed";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        String root = System.getenv("SPARTRAIL_ROOT");
        out.printf(
                "| %-50s | %5s | %5s | %-24s |%n|%s|%n",
                "planted",
                "seed",
                "nodes",
                "rule that found it",
                "-".repeat(52) + "|" + "-".repeat(7) + "|" + "-".repeat(7) + "|" + "-".repeat(26));
        boolean all = true;
        for (Mutations.Outcome outcome : Mutations.run(
                Path.of(root == null ? "." : root), policy ? Mutations.POLICY : Mutations.PEERS, 1, seeds, most)) {
            all &= outcome.isCaught();
            out.printf(
                    "| %-50s | %5s | %5s | %-24s |%n",
                    outcome.mutation().name(),
                    outcome.seed(),
                    outcome.size(),
                    outcome.isCaught() ? outcome.rule() : "NOT FOUND");
        }
        return all ? 0 : 1;
    }
}
