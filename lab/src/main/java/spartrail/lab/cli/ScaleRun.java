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

/** Runs scale tests and prints the measured points, the fit, its residuals and the value at the target size. */
final class ScaleRun extends Command {
    private static final int MIN_SIZES = 4;

    @Argument(required = true, metaVar = "NAME", usage = "names of scale tests, or all")
    private List<String> names = new ArrayList<>();

    @Option(
            name = "--size",
            metaVar = "N",
            usage = "size to measure; repeat for at least four sizes (default: the sizes of the test)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            name = "--subset",
            metaVar = "N",
            usage = "number of replicas of each shard in the subset of a front node (default 0: all replicas)")
    private int replicasPerShard;

    @Option(name = "--json", usage = "print the result as JSON")
    private boolean json;

    @Option(name = "--store", metaVar = "FILE", usage = "file to which one line of JSON is appended for each test")
    private Path store;

    @Override
    String summary() {
        return "measures a value at four or more sizes and fits its growth with the size";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        checkOptions();
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

    private void checkOptions() {
        if (!sizes.isEmpty() && sizes.stream().distinct().count() < MIN_SIZES) {
            throw new InvalidInputException(
                    "--size: found " + sizes + ", " + MIN_SIZES + " different sizes or more are expected");
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
