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

/** A trace whose times are out of order, doubled, stepped back, torn: what comes out, and what is refused. */
final class LoadTraceOrderDrill implements Drill {
    private static final int COUNT = 2000;

    @Override
    public String name() {
        return "load-trace-order";
    }

    @Override
    public String summary() {
        return "a trace out of order, with doubled lines, a clock that steps back and a torn end";
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
            for (int i = 0; i < COUNT; i++) {
                inOrder.add(line(i, 10 * i));
            }
            // Lines change places with others up to 40 ms away: a window of 50 ms is enough.
            List<String> mixed = new ArrayList<>(inOrder);
            Random random = new Random(seed);
            for (int i = 0; i + 5 <= COUNT; i += 5) {
                Collections.shuffle(mixed.subList(i, i + 5), random);
            }
            findings.checkEqual(
                    "out of order by up to 40 ms, window 50 ms: keys in order",
                    keys(folder, inOrder, 50, false),
                    keys(folder, mixed, 50, false));
            findings.checkEqual("the same, window 5 ms", "refused", refused(folder, mixed, 5));
            List<String> doubled = new ArrayList<>(inOrder);
            doubled.add(8, inOrder.get(7));
            doubled.add(101, inOrder.get(100));
            findings.checkEqual(
                    "two lines doubled: left out",
                    2L,
                    counts(folder, doubled, 50, false).get("duplicates").asLong());
            List<String> stepped = new ArrayList<>();
            for (int i = 0; i < COUNT; i++) {
                stepped.add(line(i, 10 * i - (i >= COUNT / 2 ? 5000 : 0)));
            }
            findings.checkEqual("a clock 5 s back midway", "refused", refused(folder, stepped, 50));
            ObjectNode clamped = counts(folder, stepped, 50, true);
            findings.checkEqual(
                    "the same with clamp: steps of the clock",
                    1L,
                    clamped.get("clockSteps").asLong());
            findings.checkEqual(
                    "the same with clamp: multigets kept",
                    (long) COUNT,
                    clamped.get("multigets").asLong());
            Path torn = folder.resolve("torn.csv");
            String text = "atMs,opType,key,shards\n" + String.join("\n", inOrder);
            Files.writeString(torn, text.substring(0, text.length() - 6));
            ObjectNode tornCounts =
                    TraceImport.run(torn, folder.resolve("torn"), TraceImport.Columns.ofRecord(), 50, false, 0, false);
            findings.checkEqual(
                    "a torn last line: counted",
                    1L,
                    tornCounts.get("tornLastLine").asLong());
            findings.checkEqual(
                    "a torn last line: the rest kept",
                    COUNT - 1L,
                    tornCounts.get("multigets").asLong());
        } finally {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.delete(folder);
        }
    }

    private static String line(int number, int atMs) {
        return String.format(Locale.ROOT, "%d,orders,k%d,%d;%d", atMs, number, number % 8, (number + 1) % 8);
    }

    private static ObjectNode counts(Path folder, List<String> lines, double windowMs, boolean clamp)
            throws IOException {
        Path csv = folder.resolve("trace.csv");
        Files.writeString(csv, "atMs,opType,key,shards\n" + String.join("\n", lines) + "\n");
        return TraceImport.run(csv, folder.resolve("trace"), TraceImport.Columns.ofRecord(), windowMs, clamp, 0, false);
    }

    private static String refused(Path folder, List<String> lines, double windowMs) throws IOException {
        try {
            counts(folder, lines, windowMs, false);
            return "taken";
        } catch (InvalidInputException e) {
            return e.getMessage().matches("(?s).*trace\\.csv:[0-9]+: this line is .* earlier.*")
                    ? "refused"
                    : e.getMessage();
        }
    }

    private static int keys(Path folder, List<String> lines, double windowMs, boolean clamp) throws Exception {
        counts(folder, lines, windowMs, clamp);
        List<String> keys = new ArrayList<>();
        try (TraceReplay replay = new TraceReplay(folder.resolve("trace"), 1, 1, 1, 1, 1, ClientBehavior.ONCE)) {
            replay.forEachRemaining(arrival -> keys.add(arrival.key() + "@" + Math.round(arrival.atMs())));
        }
        return keys.hashCode();
    }
}
