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

/** Judges a merged history that was kept. */
final class NodesJudge extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "history.jsonl of a run that was kept with --out")
    private Path file;

    @Option(name = "--nodes", metaVar = "N", required = true, usage = "so many nodes took part")
    private int nodes;

    @Option(name = "--settled", usage = "at its end all views must be equal")
    private boolean settled;

    @Override
    String summary() {
        return "holds a merged history of several nodes against the rules of peers; status 1 where one is broken";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        List<ClusterHistory.Line> lines;
        try {
            lines = ClusterHistory.readMerged(file);
        } catch (IOException | RuntimeException e) {
            throw new InvalidInputException(file + ": is no history: " + e.getMessage());
        }
        PeersRules rules = new HistoryChecker(nodes).check(lines, settled);
        out.println(lines.size() + " lines, " + rules.judgedChanges() + " changes of views judged, "
                + rules.breaches().size() + " breaches");
        rules.breaches().forEach(breach -> out.println("BROKEN " + breach));
        return rules.breaches().isEmpty() ? 0 : 1;
    }
}
