package spartrail.lab.trace;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Table;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.plan.ClientBehavior;

class TraceTest {
    private static final String HEAD = "atMs,opType,key,shards\n";

    /** A trace to import, with the options of the import. */
    private record TraceCase(
            String name, String text, String columns, double windowMs, boolean clamp, double squeezeMs) {}

    private static final List<TraceCase> CSV_CASES = List.of(
            new TraceCase("in order", HEAD + "0,o,a,1\n10,o,b,1;2\n", "{}", 5.0, false, 0.0),
            new TraceCase(
                    "out of order within the window", HEAD + "0,o,a,1\n10,o,b,1\n6,o,c,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("beyond the window", HEAD + "0,o,a,1\n10,o,b,1\n4,o,c,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("beyond it, clamped", HEAD + "0,o,a,1\n10,o,b,1\n4,o,c,1\n", "{}", 5.0, true, 0.0),
            new TraceCase("doubled", HEAD + "0,o,a,1\n0,o,a,1\n3,o,b,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("a gap of days", HEAD + "0,o,a,1\n172800000,o,b,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("a gap of days, squeezed", HEAD + "0,o,a,1\n172800000,o,b,1\n", "{}", 5.0, false, 100.0),
            new TraceCase("an unknown op type", HEAD + "0,o,a,1\n5,x,b,1\n", "{'opTypes':['o']}", 5.0, false, 0.0),
            new TraceCase(
                    "an unknown op type, skipped",
                    HEAD + "0,o,a,1\n5,x,b,1\n",
                    "{'opTypes':['o'],'unknown':'skip'}",
                    5.0,
                    false,
                    0.0),
            new TraceCase("an unknown shard", HEAD + "0,o,a,9\n", "{'shards':4}", 5.0, false, 0.0),
            new TraceCase("a torn last line", HEAD + "0,o,a,1\n5,o", "{}", 5.0, false, 0.0),
            new TraceCase("a torn line within", HEAD + "0,o\n5,o,b,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("no time", HEAD + "noon,o,a,1\n", "{}", 5.0, false, 0.0),
            new TraceCase("no such column", "when,opType\n0,o\n", "{}", 5.0, false, 0.0),
            new TraceCase(
                    "seconds",
                    "t,opType,key,shards\n1.5,o,a,1\n1.75,o,b,1\n",
                    "{'unit':'s','columns':{'at':'t'}}",
                    5.0,
                    false,
                    0.0),
            new TraceCase(
                    "times of day",
                    HEAD + "2026-06-24T18:00:00Z,o,a,1\n2026-06-24T18:00:00.250Z,o,b,1\n",
                    "{'unit':'iso'}",
                    5.0,
                    false,
                    0.0));

    private static final List<TraceCase> JSON_CASES = List.of(
            new TraceCase(
                    "JSON lines",
                    "{\"atMs\":1,\"opType\":\"o\",\"key\":\"a\",\"shards\":[1,2],\"weights\":[0.2,0.8]}\n"
                            + "{\"atMs\":4,\"opType\":\"o\",\"key\":\"b\",\"shards\":[1]}\n",
                    "{}",
                    5.0,
                    false,
                    0.0),
            new TraceCase(
                    "JSON lines, the last one torn",
                    "{\"atMs\":1,\"opType\":\"o\",\"key\":\"a\",\"shards\":[1]}\n{\"atMs\":4,\"opT",
                    "{}",
                    5.0,
                    false,
                    0.0),
            new TraceCase(
                    "JSON lines, one in the middle spoilt",
                    "{\"atMs\":1,\"opT\n{\"atMs\":1,\"opType\":\"o\",\"key\":\"a\",\"shards\":[1]}\n",
                    "{}",
                    5.0,
                    false,
                    0.0),
            new TraceCase("nothing", "", "{}", 5.0, false, 0.0));

    @TempDir
    private Path folder;

    private String importAndReplay(String text, String columns, double windowMs, boolean clamp, double squeezeMs)
            throws Exception {
        Path from = folder.resolve("in");
        Files.writeString(from, text);
        TraceImport.Columns parsedColumns = TraceImport.Columns.of(
                Document.parse("columns.json", columns.replace('\'', '"').getBytes(StandardCharsets.UTF_8), "columns"));
        StringBuilder result = new StringBuilder();
        try {
            TraceImport.run(from, folder.resolve("out"), parsedColumns, windowMs, clamp, squeezeMs, false)
                    .fields()
                    .forEachRemaining(field -> result.append(
                            field.getValue().asLong() == 0 ? "" : " " + field.getKey() + " " + field.getValue()));
            return result + ":" + replay(1, 1, 1, 1);
        } catch (InvalidInputException e) {
            assertThat(Files.exists(folder.resolve("out.part"))).isFalse();
            return " refused: " + e.getMessage().replace(folder + "/", "");
        }
    }

    private String replay(double speed, int loops, double share, int copies) throws Exception {
        StringBuilder result = new StringBuilder();
        try (TraceReplay replay =
                new TraceReplay(folder.resolve("out"), speed, loops, share, copies, 1, ClientBehavior.ONCE)) {
            replay.forEachRemaining(
                    arrival -> result.append(String.format(Locale.ROOT, " %s@%.0f", arrival.key(), arrival.atMs())));
        }
        return result.toString();
    }

    @Test
    void importAppliesTheRuleOfEachIrregularity() throws Exception {
        StringBuilder result = new StringBuilder();
        List<TraceCase> cases =
                Stream.of(CSV_CASES, JSON_CASES).flatMap(List::stream).toList();
        for (TraceCase traceCase : cases) {
            result.append(traceCase.name())
                    .append(':')
                    .append(importAndReplay(
                            traceCase.text(),
                            traceCase.columns(),
                            traceCase.windowMs(),
                            traceCase.clamp(),
                            traceCase.squeezeMs()))
                    .append('\n');
        }
        Table.same("trace-rules", result.toString());
    }

    @Test
    void replayChangesSpeedRepeatsSamplesAndCopies() throws Exception {
        importAndReplay("atMs,opType,key,shards\n0,o,a,1\n100,o,b,1\n200,o,c,1\n", "{}", 5, false, 0);
        assertThat(replay(2, 1, 1, 1)).isEqualTo(" a@0 b@50 c@100");
        assertThat(replay(1, 2, 1, 1)).isEqualTo(" a@0 b@100 c@200 a@200 b@300 c@400");
        assertThat(replay(1, 1, 0.5, 1)).isEqualTo(replay(1, 1, 0.5, 1)).hasSizeLessThan(" a@0 b@100 c@200".length());
        assertThat(replay(1, 1, 1, 2).replaceAll("@[0-9]+", "")).isEqualTo(" a a~1 b b~1 c c~1");
    }

    @Test
    void replayOfTruncatedTraceFails() throws Exception {
        StringBuilder text = new StringBuilder("atMs,opType,key,shards\n");
        for (int i = 0; i < 20_000; i++) {
            text.append(i).append(",o,k").append(i * 7919 % 10_007).append(",1\n");
        }
        importAndReplay(text.toString(), "{}", 5, false, 0);
        Path out = folder.resolve("out");
        byte[] bytes = Files.readAllBytes(out);
        Files.write(out, java.util.Arrays.copyOf(bytes, bytes.length / 2));
        assertThat(org.assertj.core.api.Assertions.catchThrowable(() -> replay(1, 1, 1, 1)))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageMatching(".*out: is truncated after [0-9]+ multigets");
    }
}
