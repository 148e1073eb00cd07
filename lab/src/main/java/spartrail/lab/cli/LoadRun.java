package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Sends the arrivals of a load plan at their planned times. */
final class LoadRun extends LoadCommand {
    @Argument(required = true, metaVar = "FILE", usage = "the load plan")
    private Path file;

    @Option(name = "--seed", metaVar = "N", usage = "seed to use instead of the seed in the plan")
    private Long seed;

    @Option(name = "--times", metaVar = "X", usage = "factor for all rates of the plan (default 1)")
    private double rateFactor = 1;

    @Override
    String summary() {
        return "sends the multigets of a plan to front nodes, open loop, and reports latency measured from the planned send times";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        Document document = Document.read(file, "load");
        LoadPlan plan = LoadPlan.of(document);
        plan = plan.withSeedAndRateFactor(seed == null ? plan.seed() : seed, rateFactor);
        List<LoadPlan.Target> givenTargets = parseTargets(document);
        plan = plan.withTargets(givenTargets.isEmpty() ? plan.targets() : givenTargets);
        return LoadRunner.run(plan, plan.arrivals(), plan.durationMs(), json, report, out, err);
    }
}
