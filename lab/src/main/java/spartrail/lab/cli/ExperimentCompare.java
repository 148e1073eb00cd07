package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.experiment.ExperimentComparison;
import spartrail.lab.experiment.ExperimentStore;
import spartrail.lab.file.Document;

/** Compares two experiments metric by metric. */
final class ExperimentCompare extends ExperimentCommand {
    @Argument(required = true, index = 0, metaVar = "A", usage = "id or name of the experiment to compare with")
    private String baseline;

    @Argument(required = true, index = 1, metaVar = "B", usage = "id or name of the experiment to judge")
    private String candidate;

    @Option(name = "--json", usage = "print the comparison as JSON")
    private boolean json;

    @Override
    String summary() {
        return "compares each metric of two experiments: the second is better, worse or undecided; exits with status 1 if any is worse";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        boolean worse = false;
        try (ExperimentStore store = openStore()) {
            Map<String, Map<Long, JsonNode>> baselineGroups =
                    ExperimentComparison.groups(store.runs(store.find(baseline).id()));
            Map<String, Map<Long, JsonNode>> candidateGroups =
                    ExperimentComparison.groups(store.runs(store.find(candidate).id()));
            for (Map.Entry<String, Map<Long, JsonNode>> group : baselineGroups.entrySet()) {
                Map<Long, JsonNode> partner = candidateGroups.get(group.getKey());
                if (partner == null) {
                    continue;
                }
                List<ExperimentComparison.Line> lines = ExperimentComparison.lines(group.getValue(), partner);
                worse |= lines.stream().anyMatch(line -> line.verdict().equals("worse"));
                int pairs = (int) group.getValue().keySet().stream()
                        .filter(partner::containsKey)
                        .count();
                out.print(
                        json
                                ? Document.JSON.writeValueAsString(lines) + "\n"
                                : ExperimentComparison.table(
                                        baseline + ": " + group.getKey(),
                                        candidate + ": " + group.getKey(),
                                        lines,
                                        pairs));
            }
        }
        return worse ? 1 : 0;
    }
}
