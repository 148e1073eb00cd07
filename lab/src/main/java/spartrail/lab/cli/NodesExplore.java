package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Exploration;
import spartrail.lab.simulation.PeersScenario;
import spartrail.lab.simulation.PolicyScenario;

/** Plays many seeds on the virtual network and shows what broke. */
final class NodesExplore extends Command {
    @Option(name = "--from", metaVar = "SEED", usage = "the first seed (default 1)")
    private long from = 1;

    @Option(name = "--seeds", metaVar = "N", usage = "so many of them (default 1000)")
    private long seeds = 1000;

    @Option(name = "--most", metaVar = "NODES", usage = "3 to so many nodes, small fleets more often (default 100)")
    private int most = 100;

    @Option(name = "--least", metaVar = "NODES", usage = "so many nodes at the least (default 3)")
    private int least = 3;

    @Override
    String summary() {
        return "plays many seeds of nodes and faults on a virtual network; status 1 where a rule of peers was broken";
    }

    @Option(name = "--policy", usage = "nodes that go by versions of policy")
    private boolean policy;

    private int policy(PrintStream out, PrintStream err) {
        long startNs = System.nanoTime();
        PolicyScenario.Result result = PolicyScenario.explore(from, seeds, most, done -> {
            if (done % 1000 == 0) {
                err.println(done + " of " + seeds + " seeds");
            }
        });
        out.printf(
                "seeds %d to %d, 3 to %d nodes: %d messages, %d versions that took hold, %d changes of what a node goes by, hash %016x, "
                        + "%.0f s%n",
                from,
                from + seeds - 1,
                most,
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
                .ifPresent(seed -> out.print("the shortest script found for the first: "
                        + PolicyScenario.generate(seed, most).shrink().script()));
        return result.found().isEmpty() ? 0 : 1;
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (policy) {
            return policy(out, err);
        }
        long startNs = System.nanoTime();
        long[] toldNs = {startNs};
        Exploration.Result result = Exploration.explore(from, seeds, least, most, done -> {
            synchronized (toldNs) {
                if (System.nanoTime() - toldNs[0] > 10_000_000_000L) {
                    toldNs[0] = System.nanoTime();
                    err.println(done + " of " + seeds + " seeds");
                }
            }
        });
        out.printf(
                "seeds %d to %d, %d to %d nodes: %d messages, %d changes of views judged, hash %016x, %.0f s%n",
                from,
                from + seeds - 1,
                least,
                most,
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
            PeersScenario shortest = Exploration.shrink(seed, least, most);
            out.print("the shortest script found for the first: " + shortest.script());
            out.println("all that happened: spartrail nodes replay " + seed + " --least " + least + " --most " + most);
        });
        return result.found().isEmpty() ? 0 : 1;
    }
}
