package spartrail.lab.drill;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.plan.ClientBehavior;
import spartrail.lab.trace.TraceImport;
import spartrail.lab.trace.TraceReplay;

/** Imports traces with lines out of order, duplicated lines, a clock that steps back and a truncated last line. */
final class LoadTraceOrderDrill implements Drill {
    private static final int LINE_COUNT = 2000;

    @Override
    public String name() {
        return "load-trace-order";
    }

    @Override
    public String summary() {
        return "imports traces with lines out of order, duplicated lines, a clock that steps back and a truncated end";
    }

    @Override
    public String subsystem() {
        return "traces";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        Path folder = Files.createTempDirectory("spartrail-drill");
        try {
            List<String> inOrder = new ArrayList<>();
            for (int i = 0; i < LINE_COUNT; i++) {
                inOrder.add(formatLine(i, 10 * i));
            }
            // Lines are swapped with others up to 40 ms away, so a window of 50 ms restores the order.
            List<String> shuffled = new ArrayList<>(inOrder);
            Random random = new Random(seed);
            for (int i = 0; i + 5 <= LINE_COUNT; i += 5) {
                Collections.shuffle(shuffled.subList(i, i + 5), random);
            }
            findings.checkEqual(
                    "out of order by up to 40 ms, window 50 ms: hash of the keys",
                    hashReplayedKeys(folder, inOrder, 50, false),
                    hashReplayedKeys(folder, shuffled, 50, false));
            findings.checkEqual(
                    "out of order by up to 40 ms, window 5 ms: import", "refused", tryImport(folder, shuffled, 5));
            List<String> withDuplicates = new ArrayList<>(inOrder);
            withDuplicates.add(8, inOrder.get(7));
            withDuplicates.add(101, inOrder.get(100));
            findings.checkEqual(
                    "two duplicated lines: duplicates left out",
                    2L,
                    importLines(folder, withDuplicates, 50, false)
                            .get("duplicates")
                            .asLong());
            List<String> withClockStep = new ArrayList<>();
            for (int i = 0; i < LINE_COUNT; i++) {
                withClockStep.add(formatLine(i, 10 * i - (i >= LINE_COUNT / 2 ? 5000 : 0)));
            }
            findings.checkEqual("clock steps back 5 s midway: import", "refused", tryImport(folder, withClockStep, 50));
            ObjectNode clampedReport = importLines(folder, withClockStep, 50, true);
            findings.checkEqual(
                    "clock steps back, with clamp: steps counted",
                    1L,
                    clampedReport.get("clockSteps").asLong());
            findings.checkEqual(
                    "clock steps back, with clamp: multigets kept",
                    (long) LINE_COUNT,
                    clampedReport.get("multigets").asLong());
            Path tornFile = folder.resolve("torn.csv");
            String text = "atMs,opType,key,shards\n" + String.join("\n", inOrder);
            Files.writeString(tornFile, text.substring(0, text.length() - 6));
            ObjectNode tornReport = TraceImport.run(
                    tornFile, folder.resolve("torn"), TraceImport.Columns.ofRecord(), 50, false, 0, false);
            findings.checkEqual(
                    "truncated last line: truncated lines counted",
                    1L,
                    tornReport.get("tornLastLine").asLong());
            findings.checkEqual(
                    "truncated last line: other multigets kept",
                    LINE_COUNT - 1L,
                    tornReport.get("multigets").asLong());
        } finally {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.delete(folder);
        }
    }

    private static String formatLine(int number, int atMs) {
        return String.format(Locale.ROOT, "%d,orders,k%d,%d;%d", atMs, number, number % 8, (number + 1) % 8);
    }

    private static ObjectNode importLines(Path folder, List<String> lines, double windowMs, boolean clamp)
            throws IOException {
        Path csv = folder.resolve("trace.csv");
        Files.writeString(csv, "atMs,opType,key,shards\n" + String.join("\n", lines) + "\n");
        return TraceImport.run(csv, folder.resolve("trace"), TraceImport.Columns.ofRecord(), windowMs, clamp, 0, false);
    }

    private static String tryImport(Path folder, List<String> lines, double windowMs) throws IOException {
        try {
            importLines(folder, lines, windowMs, false);
            return "taken";
        } catch (InvalidInputException e) {
            return e.getMessage().matches("(?s).*trace\\.csv:[0-9]+: this line is .* earlier.*")
                    ? "refused"
                    : e.getMessage();
        }
    }

    private static int hashReplayedKeys(Path folder, List<String> lines, double windowMs, boolean clamp)
            throws Exception {
        importLines(folder, lines, windowMs, clamp);
        List<String> keys = new ArrayList<>();
        try (TraceReplay replay = new TraceReplay(folder.resolve("trace"), 1, 1, 1, 1, 1, ClientBehavior.ONCE)) {
            replay.forEachRemaining(arrival -> keys.add(arrival.key() + "@" + Math.round(arrival.atMs())));
        }
        return keys.hashCode();
    }
}
