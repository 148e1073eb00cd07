package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Options that all commands that send load share: the target nodes and the form of the report. */
abstract class LoadCommand extends Command {
    @Option(
            name = "--target",
            metaVar = "HOST:PORT",
            usage = "loopback address of a front node to send to; may be repeated")
    private List<String> targets = new ArrayList<>();

    @Option(name = "--json", usage = "print the report as JSON")
    boolean json;

    @Option(name = "--out", metaVar = "FILE", usage = "also write the report as JSON to this file")
    Path report;

    /** Parses and checks the front nodes given with --target; the list is empty if there are none. */
    List<LoadPlan.Target> parseTargets(Document document) {
        List<LoadPlan.Target> nodes = new ArrayList<>();
        for (String target : targets) {
            nodes.add(LoadPlan.target(document, TextNode.valueOf(target), "--target"));
        }
        return nodes;
    }
}
