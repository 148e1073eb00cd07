package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes an experiment's tables, charts and HTML page into one folder. */
public final class ExperimentPage {
    private ExperimentPage() {}

    /** Tables of all groups, and of each group compared with the first one of the same load and number of nodes. */
    public static String tables(List<ExperimentStore.Run> runs) {
        StringBuilder out = new StringBuilder(ExperimentComparison.table(runs));
        Map<String, Map<Long, JsonNode>> groups = ExperimentComparison.groups(runs);
        Map<String, String> firstGroupOf = new LinkedHashMap<>();
        for (ExperimentStore.Run run : runs) {
            String nodesAndLoad = run.cell().nodes() + "/" + run.cell().times();
            String group = run.cell().group();
            String first = firstGroupOf.putIfAbsent(nodesAndLoad, group);
            if (first != null
                    && !first.equals(group)
                    && groups.containsKey(group)
                    && groups.containsKey(first)
                    && firstGroupOf.putIfAbsent(nodesAndLoad + group, group) == null) {
                Map<Long, JsonNode> firstReports = groups.get(first);
                Map<Long, JsonNode> otherReports = groups.get(group);
                out.append('\n')
                        .append(ExperimentComparison.table(
                                first, group, ExperimentComparison.lines(firstReports, otherReports), (int)
                                        firstReports.keySet().stream()
                                                .filter(otherReports::containsKey)
                                                .count()));
            }
        }
        return out.toString();
    }

    /** Writes the tables, the charts of the first completed run of each group, and the page. */
    public static void folder(Path folder, String title, List<ExperimentStore.Run> runs) throws IOException {
        Files.createDirectories(folder);
        List<String> charts = new ArrayList<>(Charts.drawSaturation(runs, folder));
        Map<String, ExperimentStore.Run> firstRuns = new LinkedHashMap<>();
        runs.stream()
                .filter(run -> run.report() != null)
                .forEach(run -> firstRuns.putIfAbsent(run.cell().group(), run));
        for (ExperimentStore.Run run : firstRuns.values()) {
            String name = (run.cell().version() + "-" + run.cell().nodes() + "-x"
                            + run.cell().times())
                    .replaceAll("[^0-9A-Za-z.-]", "_");
            charts.addAll(Charts.drawRun(run.report(), folder, name));
        }
        String tables = tables(runs);
        Files.writeString(folder.resolve("tables.txt"), tables);
        Charts.writePage(folder, title, tables, charts);
    }
}
