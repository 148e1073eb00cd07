package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.Exploration;
import spartrail.lab.simulation.PeersScenario;
import spartrail.lab.simulation.PolicyScenario;
import spartrail.peers.GossipTimings;

/** Shows all that happens in a seed, shrunk where it breaks a rule. */
final class NodesReplay extends Command {
    @Argument(required = true, metaVar = "SEED")
    private long seed;

    @Option(name = "--most", metaVar = "NODES", usage = "as it was explored (default 100)")
    private int most = 100;

    @Option(name = "--least", metaVar = "NODES", usage = "so many nodes at the least (default 3)")
    private int least = 3;

    @Option(name = "--whole", usage = "the whole script, also where a shorter one breaks the same rule")
    private boolean whole;

    @Override
    String summary() {
        return "plays one seed of the virtual network and shows each fault and each change of a view";
    }

    @Option(name = "--policy", usage = "a seed of nodes that go by versions of policy")
    private boolean policy;

    @Override
    int run(PrintStream out, PrintStream err) {
        if (policy) {
            PolicyScenario trial = whole
                    ? PolicyScenario.generate(seed, most)
                    : PolicyScenario.generate(seed, most).shrink();
            out.print(trial.script());
            PolicyScenario.Outcome outcome = trial.play(true);
            outcome.log().forEach(out::println);
            out.printf("hash %016x, %d messages%n", outcome.hash(), outcome.messages());
            return outcome.breaches().isEmpty() ? 0 : 1;
        }
        PeersScenario trial = whole ? PeersScenario.generate(seed, least, most) : Exploration.shrink(seed, least, most);
        out.print(trial.script());
        PeersScenario.Outcome outcome = trial.play(GossipTimings.DEFAULT, true);
        outcome.simulation().log().forEach(out::println);
        out.printf("hash %016x, %d messages%n", outcome.hash(), outcome.messages());
        outcome.breaches().forEach(breach -> out.println("BROKEN " + breach));
        return outcome.breaches().isEmpty() ? 0 : 1;
    }
}
