package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Puts an experiment into one folder: tables, charts, a page. */
public final class ExperimentPage {
    private ExperimentPage() {}

    /** The tables of an experiment: each group, and each version against the first one where loads are the same. */
    public static String tables(List<ExperimentStore.Run> runs) {
        StringBuilder out = new StringBuilder(ExperimentComparison.table(runs));
        Map<String, Map<Long, JsonNode>> groups = ExperimentComparison.groups(runs);
        Map<String, String> firstOf = new LinkedHashMap<>();
        for (ExperimentStore.Run run : runs) {
            String rest = run.cell().nodes() + "/" + run.cell().times();
            String group = run.cell().group();
            String first = firstOf.putIfAbsent(rest, group);
            if (first != null
                    && !first.equals(group)
                    && groups.containsKey(group)
                    && groups.containsKey(first)
                    && firstOf.putIfAbsent(rest + group, group) == null) {
                Map<Long, JsonNode> one = groups.get(first);
                Map<Long, JsonNode> other = groups.get(group);
                out.append('\n')
                        .append(ExperimentComparison.table(first, group, ExperimentComparison.lines(one, other), (int)
                                one.keySet().stream().filter(other::containsKey).count()));
            }
        }
        return out.toString();
    }

    public static void folder(Path folder, String title, List<ExperimentStore.Run> runs) throws IOException {
        Files.createDirectories(folder);
        List<String> charts = new ArrayList<>(Charts.saturation(runs, folder));
        Map<String, ExperimentStore.Run> firsts = new LinkedHashMap<>();
        runs.stream()
                .filter(run -> run.report() != null)
                .forEach(run -> firsts.putIfAbsent(run.cell().group(), run));
        for (ExperimentStore.Run run : firsts.values()) {
            String name = (run.cell().version() + "-" + run.cell().nodes() + "-x"
                            + run.cell().times())
                    .replaceAll("[^0-9A-Za-z.-]", "_");
            charts.addAll(Charts.run(run.report(), folder, name));
        }
        String tables = tables(runs);
        Files.writeString(folder.resolve("tables.txt"), tables);
        Charts.page(folder, title, tables, charts);
    }
}
