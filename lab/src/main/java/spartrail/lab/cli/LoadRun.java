package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Sends what a plan says, when it says. */
final class LoadRun extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "the plan")
    private Path file;

    @Option(name = "--target", metaVar = "HOST:PORT", usage = "a front node instead of the plan's; may be repeated")
    private List<String> targets = new ArrayList<>();

    @Option(name = "--seed", metaVar = "N", usage = "another seed than the plan's")
    private Long seed;

    @Option(name = "--times", metaVar = "X", usage = "all rates times so much")
    private double times = 1;

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean json;

    @Option(name = "--out", metaVar = "FILE", usage = "write the report as JSON to this file too")
    private Path report;

    @Override
    String summary() {
        return "sends the multigets of a plan to front nodes, open loop, and reports latency from the intended times";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        Document document = Document.read(file, "load");
        LoadPlan plan = LoadPlan.of(document);
        plan = plan.varied(seed == null ? plan.seed() : seed, times);
        List<LoadPlan.Target> nodes = new ArrayList<>(plan.targets());
        if (!targets.isEmpty()) {
            nodes.clear();
            for (String target : targets) {
                nodes.add(LoadPlan.target(document, TextNode.valueOf(target), "--target"));
            }
        }
        plan = plan.against(nodes);
        return Running.run(plan, plan.arrivals(), plan.lastsMs(), json, report, out, err);
    }
}
