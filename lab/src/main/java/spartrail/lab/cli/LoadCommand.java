package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** What all commands that send have in common: where to, and what becomes of the report. */
abstract class LoadCommand extends Command {
    @Option(name = "--target", metaVar = "HOST:PORT", usage = "a front node on the loopback; may be repeated")
    private List<String> targets = new ArrayList<>();

    @Option(name = "--json", usage = "print the report as JSON")
    boolean json;

    @Option(name = "--out", metaVar = "FILE", usage = "write the report as JSON to this file too")
    Path report;

    /** The front nodes that were named, checked; none where none was. */
    List<LoadPlan.Target> targets(Document document) {
        List<LoadPlan.Target> nodes = new ArrayList<>();
        for (String target : targets) {
            nodes.add(LoadPlan.target(document, TextNode.valueOf(target), "--target"));
        }
        return nodes;
    }
}
