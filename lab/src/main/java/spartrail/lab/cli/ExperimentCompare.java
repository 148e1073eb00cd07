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

/** Holds two experiments against each other. */
final class ExperimentCompare extends ExperimentCommand {
    @Argument(required = true, index = 0, metaVar = "A", usage = "an experiment's id or name")
    private String first;

    @Argument(required = true, index = 1, metaVar = "B", usage = "the one to judge against it")
    private String second;

    @Option(name = "--json", usage = "as JSON")
    private boolean json;

    @Override
    String summary() {
        return "says metric by metric whether the second is better, worse, or cannot be told; status 1 where worse";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        boolean worse = false;
        try (ExperimentStore store = store()) {
            Map<String, Map<Long, JsonNode>> one =
                    ExperimentComparison.groups(store.runs(store.find(first).id()));
            Map<String, Map<Long, JsonNode>> other =
                    ExperimentComparison.groups(store.runs(store.find(second).id()));
            for (Map.Entry<String, Map<Long, JsonNode>> group : one.entrySet()) {
                Map<Long, JsonNode> partner = other.get(group.getKey());
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
                                        first + ": " + group.getKey(), second + ": " + group.getKey(), lines, pairs));
            }
        }
        return worse ? 1 : 0;
    }
}
