package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.drill.Drill;
import spartrail.lab.drill.Drills;
import spartrail.lab.file.Document;

/** Runs drills; the exit status is 1 if a result differs from the expected one. */
final class DrillRun extends Command {
    @Argument(required = true, metaVar = "NAME", usage = "names of drills, or all")
    private List<String> names = new ArrayList<>();

    @Option(name = "--seed", metaVar = "N", usage = "seed of all random choices (default 1)")
    private long seed = 1;

    @Option(name = "--json", usage = "print the results as JSON")
    private boolean json;

    @Override
    String summary() {
        return "runs drills and prints expected and observed results; exits with status 1 if any differ";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        List<Drill> drills = names.equals(List.of("all"))
                ? Drills.all()
                : names.stream().map(Drills::named).toList();
        boolean allPassed = true;
        var list = Document.JSON.createArrayNode();
        for (Drill drill : drills) {
            Drill.Findings findings = new Drill.Findings();
            drill.run(seed, findings);
            boolean passed = findings.all().stream().allMatch(Drill.Finding::passed);
            allPassed &= passed;
            var node = list.addObject()
                    .put("drill", drill.name())
                    .put("seed", seed)
                    .put("good", passed);
            var lines = node.putArray("findings");
            if (!json) {
                out.printf(
                        "%s: %s (seed %d; repeat with: spartrail drill run %s --seed %d)%n",
                        drill.name(), passed ? "passed" : "FAILED", seed, drill.name(), seed);
                out.printf("  %-58s %-30s %-30s%n", "", "expected", "seen");
            }
            for (Drill.Finding finding : findings.all()) {
                lines.addObject()
                        .put("what", finding.description())
                        .put("expected", finding.expected())
                        .put("seen", finding.observed())
                        .put("good", finding.passed());
                if (!json) {
                    out.printf(
                            "  %-58s %-30s %-30s%s%n",
                            finding.description(),
                            finding.expected(),
                            finding.observed(),
                            finding.passed() ? "" : " <-- differs");
                }
            }
        }
        if (json) {
            out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list));
        }
        return allPassed ? 0 : 1;
    }
}
