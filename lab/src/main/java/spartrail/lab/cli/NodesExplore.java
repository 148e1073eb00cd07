package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Exploration;
import spartrail.lab.simulation.PeersScenario;
import spartrail.lab.simulation.PolicyScenario;

/** Runs the scenarios of many seeds on the simulated network and prints the seeds that break a rule. */
final class NodesExplore extends Command {
    @Option(name = "--from", metaVar = "SEED", usage = "the first seed (default 1)")
    private long firstSeed = 1;

    @Option(name = "--seeds", metaVar = "N", usage = "number of seeds (default 1000)")
    private long seeds = 1000;

    @Option(
            name = "--most",
            metaVar = "NODES",
            usage = "maximum number of nodes; small fleets are chosen more often (default 100)")
    private int maxNodes = 100;

    @Option(name = "--least", metaVar = "NODES", usage = "minimum number of nodes (default 3)")
    private int minNodes = 3;

    @Override
    String summary() {
        return "runs scenarios of nodes and faults from many seeds on a simulated network; exits with status 1 if a rule is broken";
    }

    @Option(name = "--policy", usage = "run scenarios of nodes that apply policy versions")
    private boolean policy;

    private int explorePolicy(PrintStream out, PrintStream err) {
        long startNs = System.nanoTime();
        PolicyScenario.Result result = PolicyScenario.explore(firstSeed, seeds, maxNodes, done -> {
            if (done % 1000 == 0) {
                err.println(done + " of " + seeds + " seeds");
            }
        });
        out.printf(
                "seeds %d to %d, 3 to %d nodes: %d messages, %d versions that took effect, %d changes of a node's version, hash %016x, "
                        + "%.0f s%n",
                firstSeed,
                firstSeed + seeds - 1,
                maxNodes,
                result.messages(),
                result.versions(),
                result.changes(),
                result.hash(),
                (System.nanoTime() - startNs) / 1e9);
        out.println(result.found().size() + " seeds broke a rule");
        result.found().entrySet().stream()
                .limit(20)
                .forEach(found -> out.println("  seed " + found.getKey() + ", " + found.getValue()));
        result.found().keySet().stream()
                .findFirst()
                .ifPresent(seed -> out.print("shortest script found for the first of them: "
                        + PolicyScenario.generate(seed, maxNodes).shrink().script()));
        return result.found().isEmpty() ? 0 : 1;
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (policy) {
            return explorePolicy(out, err);
        }
        long startNs = System.nanoTime();
        long[] reportedNs = {startNs};
        Exploration.Result result = Exploration.explore(firstSeed, seeds, minNodes, maxNodes, done -> {
            synchronized (reportedNs) {
                if (System.nanoTime() - reportedNs[0] > 10_000_000_000L) {
                    reportedNs[0] = System.nanoTime();
                    err.println(done + " of " + seeds + " seeds");
                }
            }
        });
        out.printf(
                "seeds %d to %d, %d to %d nodes: %d messages, %d view changes checked, hash %016x, %.0f s%n",
                firstSeed,
                firstSeed + seeds - 1,
                minNodes,
                maxNodes,
                result.messages(),
                result.changes(),
                result.hash(),
                (System.nanoTime() - startNs) / 1e9);
        out.println(result.found().size() + " seeds broke a rule");
        result.found().values().stream()
                .limit(20)
                .forEach(found ->
                        out.println("  seed " + found.seed() + ", " + found.size() + " nodes, " + found.first()));
        result.found().keySet().stream().findFirst().ifPresent(seed -> {
            PeersScenario shortest = Exploration.shrink(seed, minNodes, maxNodes);
            out.print("shortest script found for the first of them: " + shortest.script());
            out.println("print all its events with: spartrail nodes replay " + seed + " --least " + minNodes
                    + " --most " + maxNodes);
        });
        return result.found().isEmpty() ? 0 : 1;
    }
}
