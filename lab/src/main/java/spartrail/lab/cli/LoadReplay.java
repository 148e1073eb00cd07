package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.plan.ClientBehavior;
import spartrail.lab.plan.GapDistribution;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.plan.Rate;
import spartrail.lab.trace.TraceReplay;

/** Sends the requests of a trace at their recorded times, scaled by the options. */
final class LoadReplay extends LoadCommand {
    @Argument(required = true, metaVar = "TRACE", usage = "a trace, or the unconverted record of a front node")
    private Path file;

    @Option(name = "--speed", metaVar = "X", usage = "factor by which the trace is replayed faster (default 1)")
    private double speed = 1;

    @Option(name = "--loops", metaVar = "N", usage = "number of times to replay the trace (default 1)")
    private int loops = 1;

    @Option(name = "--share", metaVar = "S", usage = "share of the requests to send, above 0 to 1 (default 1)")
    private double share = 1;

    @Option(
            name = "--copies",
            metaVar = "N",
            usage = "number of times to send each request, each with a different key (default 1)")
    private int copies = 1;

    @Option(name = "--connections", metaVar = "N", usage = "maximum number of connections (default 1000)")
    private int connections = 1000;

    @Option(name = "--seed", metaVar = "N", usage = "seed of all random choices (default 1)")
    private long seed = 1;

    @Override
    String summary() {
        return "sends the requests of a trace to front nodes (open loop), optionally faster, repeated, sampled or multiplied";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        if (!(speed > 0) || loops < 1 || !(share > 0 && share <= 1) || copies < 1 || connections < 1) {
            throw new InvalidInputException(
                    "--speed is above 0, --loops, --copies and --connections at least 1, --share above 0 to 1");
        }
        if (!Files.isReadable(file)) {
            throw new InvalidInputException(file + ": cannot be read");
        }
        Document emptyDocument = Document.of("--target", Document.JSON.createObjectNode(), "columns");
        List<LoadPlan.Target> nodes = parseTargets(emptyDocument);
        if (nodes.isEmpty()) {
            throw new InvalidInputException("no front node to send to: give --target");
        }
        Path scratch = Files.createTempFile("spartrail", ".trace");
        try (TraceReplay replay = new TraceReplay(
                TraceReplay.traceOrImport(file, scratch), speed, loops, share, copies, seed, ClientBehavior.ONCE)) {
            LoadPlan plan = new LoadPlan(
                    seed,
                    List.of(new LoadPlan.Phase("trace", 1e12, new Rate.Steady(1))),
                    GapDistribution.POISSON,
                    1,
                    List.of(replay.stream()),
                    List.of(),
                    nodes,
                    connections,
                    1000,
                    5,
                    1000);
            return LoadRunner.run(plan, replay, Double.NaN, json, report, out, err);
        } finally {
            Files.deleteIfExists(scratch);
        }
    }
}
