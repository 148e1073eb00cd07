package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Mutations;

/** Applies each source mutation in turn and runs seeds until one of them detects it. */
final class NodesPlanted extends Command {
    @Option(name = "--seeds", metaVar = "N", usage = "try seeds 1 to N until one detects the mutation (default 300)")
    private long seeds = 300;

    @Option(name = "--most", metaVar = "NODES", usage = "maximum number of nodes; the minimum is 3 (default 60)")
    private int maxNodes = 60;

    @Option(name = "--policy", usage = "mutate the source of policy instead of that of peers")
    private boolean policy;

    @Override
    String summary() {
        return "mutates the source, one fault at a time, and prints the seed and the rule that detect it; exits with status 1 if one is missed";
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
        boolean allCaught = true;
        for (Mutations.Outcome outcome : Mutations.run(
                Path.of(root == null ? "." : root), policy ? Mutations.POLICY : Mutations.PEERS, 1, seeds, maxNodes)) {
            allCaught &= outcome.isCaught();
            out.printf(
                    "| %-50s | %5s | %5s | %-24s |%n",
                    outcome.mutation().name(),
                    outcome.seed(),
                    outcome.size(),
                    outcome.isCaught() ? outcome.rule() : "NOT FOUND");
        }
        return allCaught ? 0 : 1;
    }
}
