package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Sends what a plan says, when it says. */
final class LoadRun extends LoadCommand {
    @Argument(required = true, metaVar = "FILE", usage = "the plan")
    private Path file;

    @Option(name = "--seed", metaVar = "N", usage = "another seed than the plan's")
    private Long seed;

    @Option(name = "--times", metaVar = "X", usage = "all rates times so much")
    private double times = 1;

    @Override
    String summary() {
        return "sends the multigets of a plan to front nodes, open loop, and reports latency from the intended times";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        Document document = Document.read(file, "load");
        LoadPlan plan = LoadPlan.of(document);
        plan = plan.withSeedAndRateFactor(seed == null ? plan.seed() : seed, times);
        List<LoadPlan.Target> named = targets(document);
        plan = plan.withTargets(named.isEmpty() ? plan.targets() : named);
        return LoadRunner.run(plan, plan.arrivals(), plan.durationMs(), json, report, out, err);
    }
}
