package spartrail.lab.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.cluster.ClusterHistory;
import spartrail.lab.cluster.HistoryChecker;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.rules.PeersRules;

/** Checks the merged history of an earlier run against the rules of peers. */
final class NodesJudge extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "history.jsonl that nodes run --out wrote")
    private Path file;

    @Option(name = "--nodes", metaVar = "N", required = true, usage = "number of nodes in the run")
    private int nodes;

    @Option(name = "--settled", usage = "require that all views are equal at the end of the history")
    private boolean mustConverge;

    @Override
    String summary() {
        return "checks a merged history of several nodes against the rules of peers; exits with status 1 if a rule is broken";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        List<ClusterHistory.Line> lines;
        try {
            lines = ClusterHistory.readMerged(file);
        } catch (IOException | RuntimeException e) {
            throw new InvalidInputException(file + ": not a valid history: " + e.getMessage());
        }
        PeersRules rules = new HistoryChecker(nodes).check(lines, mustConverge);
        out.println(lines.size() + " lines, " + rules.judgedChanges() + " view changes checked, "
                + rules.breaches().size() + " breaches");
        rules.breaches().forEach(breach -> out.println("BROKEN " + breach));
        return rules.breaches().isEmpty() ? 0 : 1;
    }
}
