package spartrail.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Table;
import spartrail.lab.file.Document;

class ExperimentTest {
    @TempDir
    private Path folder;

    private static final String PLAN =
            """
            {"name": "small",
             "fleet": {"layout": {"shards": 4, "cells": 4, "reach": 2}, "roll": {"noticeMs": 50},
               "kinds": {"std": {"cores": 2, "workMs": 1, "warmMs": 2000, "tipMultiple": 50, "tipMs": 2000}},
               "servers": [{"kind": "std", "count": 4}],
               "script": [{"atMs": 300, "do": "restart", "servers": ["s-1"], "lastsMs": 600},
                 {"atMs": 1200, "do": "drain", "servers": ["s-2"]}]},
             "load": {"lagBoundMs": 60000, "phases": [{"lastsMs": 3000, "rate": {"shape": "steady", "perS": 40}}],
               "streams": [{"opTypes": [{"name": "orders"}], "shards": {"of": 4, "least": 2}, "clientMs": 4000,
                 "habit": {"tries": 2, "wait": "fixed", "waitMs": 100}}]},
             "node": {"opTypes": [{"name": "orders", "budgetMs": 2000, "timeoutMs": 4000, "floor": 0.9}]}}
            """;

    private ExperimentPlan readPlan() throws IOException {
        Path file = folder.resolve("plan.json");
        Files.writeString(file, PLAN);
        return ExperimentPlan.read(file);
    }

    /** The usual run: multigets go through a real front node to servers, of which one restarts and one drains. */
    @Test
    void realFrontNodeKeepsTheRulesUnderLoad() throws Exception {
        assumeTrue(Files.isReadable(Path.of("node/target/spartrail.jar")), "the front node's jar has been built");
        ExperimentPlan plan = readPlan();
        ObjectNode report =
                new Runner(plan, snapshot -> {}, () -> false).play(plan.cells().get(0));
        assertThat(report.at("/rules/kept").asBoolean())
                .as(report.get("rules").toString())
                .isTrue();
        assertThat(report.at("/clients/served").asLong()
                        + report.at("/clients/unserved").asLong())
                .isGreaterThan(80);
        assertThat(report.at("/served/count").asLong()).isPositive();
        assertThat(report.get("events").toString()).contains("restart s-1", "drain s-2");
        Path out = folder.resolve("report");
        ExperimentPage.folder(
                out, "small", List.of(new ExperimentStore.Run(plan.cells().get(0), report)));
        assertThat(Files.readString(out.resolve("index.html")))
                .contains("<img src=")
                .doesNotContain("http");
        try (var files = Files.list(out)) {
            assertThat(files.map(path -> path.getFileName().toString().replaceAll(".*-", ""))
                            .sorted()
                            .toList())
                    .containsExactly(
                            "index.html",
                            "latency.png",
                            "latency.svg",
                            "rate.png",
                            "rate.svg",
                            "servers.png",
                            "servers.svg",
                            "tables.txt");
        }
    }

    @Test
    void storeOfAKilledProcessOpensAndItsLastRunCountsAsBrokenOff() throws Exception {
        assumeTrue(Files.isReadable(Path.of("node/target/spartrail.jar")), "the front node's jar has been built");
        ExperimentPlan plan = readPlan();
        ExperimentPlan.Cell cell = plan.cells().get(0);
        Path copyBeforeClose = folder.resolve("killed.mv.db");
        try (ExperimentStore store = new ExperimentStore(folder.resolve("store"))) {
            long experiment = store.begin(plan);
            store.complete(store.begin(experiment, cell), report(1, 1));
            store.begin(experiment, cell);
            Files.copy(folder.resolve("store.mv.db"), copyBeforeClose);
        }
        try (ExperimentStore store = new ExperimentStore(folder.resolve("killed"))) {
            ExperimentStore.Kept kept = store.find("small");
            assertThat(kept.runs() + " runs, " + kept.done() + " done").isEqualTo("2 runs, 1 done");
            assertThat(ExperimentComparison.table(store.runs(kept.id()))).endsWith("1 runs were broken off\n");
            for (int i = 0; i < 4; i++) {
                store.begin(plan);
            }
            assertThat(store.prune(2)).isEqualTo(3);
            assertThat(store.list()).hasSize(2);
        }
    }

    private static ObjectNode report(double servedShare, double p99Ms) {
        ObjectNode tree = Document.JSON.createObjectNode();
        tree.put("fit", true).put("tries", 100);
        tree.putObject("clients")
                .put("served", 100 * servedShare)
                .put("unserved", 100 - 100 * servedShare)
                .putObject("untilServedMs")
                .put("p99", p99Ms);
        tree.putObject("kinds").put("WHOLE", 100 * servedShare).put("PUSHED_BACK", 0);
        tree.putObject("served").putObject("latencyMs").put("p50", 10).put("p99", p99Ms);
        return tree;
    }

    @Test
    void verdictIsGivenOnlyIfTheIntervalExcludesNoDifference() throws Exception {
        Map<Long, JsonNode> first = new TreeMap<>();
        Map<Long, JsonNode> second = new TreeMap<>();
        double[][] values = {
            {0.90, 100, 0.95, 90},
            {0.80, 120, 0.86, 140},
            {0.85, 110, 0.90, 105},
            {0.88, 105, 0.91, 125},
            {0.70, 150, 0.78, 135}
        };
        for (int i = 0; i < values.length; i++) {
            first.put((long) i, report(values[i][0], values[i][1]));
            second.put((long) i, report(values[i][2], values[i][3]));
        }
        Table.same(
                "compare",
                ExperimentComparison.table("old", "new", ExperimentComparison.lines(first, second), 5)
                        + ExperimentComparison.table("new", "old", ExperimentComparison.lines(second, first), 5)
                        + ExperimentComparison.table("old", "old", ExperimentComparison.lines(first, first), 5));
    }
}
