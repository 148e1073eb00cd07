package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.scale.Fit;
import spartrail.lab.scale.ScaleResult;
import spartrail.lab.scale.ScaleTest;
import spartrail.lab.scale.ScaleTests;

/** Runs scale tests and prints points, fit, residuals and the figure at the target. */
final class ScaleRun extends Command {
    private static final int LEAST_SIZES = 4;

    @Argument(required = true, metaVar = "NAME", usage = "scale tests, or all")
    private List<String> names = new ArrayList<>();

    @Option(
            name = "--size",
            metaVar = "N",
            usage = "a size to measure; may be repeated, four or more (default: those of the test)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            name = "--subset",
            metaVar = "N",
            usage = "front nodes use subsets of so many replicas of each shard (default 0, all of them)")
    private int replicasPerShard;

    @Option(name = "--json", usage = "as JSON")
    private boolean json;

    @Option(name = "--store", metaVar = "FILE", usage = "append a line of JSON for each test")
    private Path store;

    @Override
    String summary() {
        return "measures a figure at four sizes or more and fits its slope";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        check();
        List<ScaleTest> tests = names.equals(List.of("all"))
                ? ScaleTests.all(replicasPerShard)
                : ScaleTests.named(names, replicasPerShard);
        var list = Document.JSON.createArrayNode();
        for (ScaleTest test : tests) {
            ScaleResult result = measure(test, err);
            list.add(result.json());
            if (!json) {
                result.print(out);
            }
            if (store != null) {
                Files.writeString(
                        store,
                        result.json() + "\n",
                        StandardCharsets.UTF_8,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            }
        }
        if (json) {
            out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list));
        }
        return 0;
    }

    private void check() {
        if (!sizes.isEmpty() && sizes.stream().distinct().count() < LEAST_SIZES) {
            throw new InvalidInputException(
                    "--size: found " + sizes + ", " + LEAST_SIZES + " different sizes or more are expected");
        }
        if (sizes.stream().anyMatch(size -> size < 1)) {
            throw new InvalidInputException("--size: found " + sizes + ", sizes of 1 or more are expected");
        }
        if (replicasPerShard < 0 || replicasPerShard == 1) {
            throw new InvalidInputException(
                    "--subset: found " + replicasPerShard + ", 0 or a number of 2 or more is expected");
        }
    }

    private ScaleResult measure(ScaleTest test, PrintStream err) throws Exception {
        List<Fit.Point> points = new ArrayList<>();
        for (int size : sizes.isEmpty() ? test.sizes() : sizes) {
            err.println(test.name() + ": " + size + " " + test.size());
            points.add(new Fit.Point(size, test.measurement().at(size)));
        }
        return new ScaleResult(test, replicasPerShard, points, Fit.of(points));
    }
}
