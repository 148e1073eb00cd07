package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Exploration;
import spartrail.lab.simulation.PeersScenario;
import spartrail.lab.simulation.PolicyScenario;
import spartrail.peers.GossipTimings;

/** Prints all events of the scenario of one seed; if it breaks a rule, its script is first shortened. */
final class NodesReplay extends Command {
    @Argument(required = true, metaVar = "SEED", usage = "seed of the scenario")
    private long seed;

    @Option(
            name = "--most",
            metaVar = "NODES",
            usage = "the value of --most with which nodes explore ran (default 100)")
    private int maxNodes = 100;

    @Option(
            name = "--least",
            metaVar = "NODES",
            usage = "the value of --least with which nodes explore ran (default 3)")
    private int minNodes = 3;

    @Option(name = "--whole", usage = "run the whole script, even if a shorter one breaks the same rule")
    private boolean whole;

    @Override
    String summary() {
        return "runs one seed on the simulated network and prints each fault and each change of a view";
    }

    @Option(name = "--policy", usage = "run the scenario of nodes that apply policy versions")
    private boolean policy;

    @Override
    int run(PrintStream out, PrintStream err) {
        if (policy) {
            PolicyScenario scenario = whole
                    ? PolicyScenario.generate(seed, maxNodes)
                    : PolicyScenario.generate(seed, maxNodes).shrink();
            out.print(scenario.script());
            PolicyScenario.Outcome outcome = scenario.play(true);
            outcome.log().forEach(out::println);
            out.printf("hash %016x, %d messages%n", outcome.hash(), outcome.messages());
            return outcome.breaches().isEmpty() ? 0 : 1;
        }
        PeersScenario scenario =
                whole ? PeersScenario.generate(seed, minNodes, maxNodes) : Exploration.shrink(seed, minNodes, maxNodes);
        out.print(scenario.script());
        PeersScenario.Outcome outcome = scenario.play(GossipTimings.DEFAULT, true);
        outcome.simulation().log().forEach(out::println);
        out.printf("hash %016x, %d messages%n", outcome.hash(), outcome.messages());
        outcome.breaches().forEach(breach -> out.println("BROKEN " + breach));
        return outcome.breaches().isEmpty() ? 0 : 1;
    }
}
