package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.LoadPlan;

/** Prints the arrivals that a load plan generates, without sending them. */
final class LoadPreview extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "the load plan")
    private Path file;

    @Option(name = "--json", usage = "print each arrival as a line of JSON")
    private boolean json;

    @Option(name = "--list", usage = "print each arrival as a line of text")
    private boolean list;

    @Option(name = "--most", metaVar = "N", usage = "maximum number of arrivals (default: all)")
    private long maxArrivals = Long.MAX_VALUE;

    @Override
    String summary() {
        return "prints the arrivals of a load plan, or a chart of their rate, without sending anything";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        LoadPlan plan = LoadPlan.read(file);
        Iterator<Arrival> arrivals = plan.arrivals();
        int bins = 60;
        double durationMs = plan.durationMs();
        long[] counts = new long[bins];
        long total = 0;
        for (; total < maxArrivals && arrivals.hasNext(); total++) {
            Arrival arrival = arrivals.next();
            counts[(int) Math.min(bins - 1, arrival.atMs() * bins / durationMs)]++;
            if (json) {
                ObjectNode line = Document.JSON
                        .createObjectNode()
                        .put("atMs", arrival.atMs())
                        .put("phase", plan.phases().get(arrival.phase()).name())
                        .put("opType", arrival.opType())
                        .put("key", arrival.key())
                        .put("workMs", arrival.workMs())
                        .put("hintMs", arrival.costHintMs())
                        .put("textBytes", arrival.textBytes())
                        .put("clientMs", arrival.timeoutMs());
                line.set("shards", Document.JSON.valueToTree(arrival.shards()));
                out.println(Document.JSON.writeValueAsString(line));
            } else if (list) {
                out.printf(
                        Locale.ROOT,
                        "%12.3f ms %-10s %-16s %-10s %d shards%n",
                        arrival.atMs(),
                        plan.phases().get(arrival.phase()).name(),
                        arrival.opType(),
                        arrival.key(),
                        arrival.shards().length);
            }
        }
        if (!json) {
            long maxCount = 1;
            for (long count : counts) {
                maxCount = Math.max(maxCount, count);
            }
            double binSeconds = durationMs / bins / 1000;
            for (int i = 0; i < bins; i++) {
                out.printf(Locale.ROOT, "%8.1f s %9.1f/s %s%n", i * binSeconds, counts[i] / binSeconds, "#".repeat((int)
                                (60 * counts[i] / maxCount)));
            }
            out.printf(Locale.ROOT, "%d multigets in %.1f s, seed %d%n", total, durationMs / 1000, plan.seed());
        }
        return 0;
    }
}
