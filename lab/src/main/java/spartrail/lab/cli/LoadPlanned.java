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

/** Shows what a plan would send, without sending. */
final class LoadPlanned extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "the plan")
    private Path file;

    @Option(name = "--json", usage = "each arrival as a JSON line")
    private boolean json;

    @Option(name = "--list", usage = "each arrival as a line")
    private boolean list;

    @Option(name = "--most", metaVar = "N", usage = "no more than so many arrivals")
    private long most = Long.MAX_VALUE;

    @Override
    String summary() {
        return "prints or draws the arrivals of a plan without sending anything";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        LoadPlan plan = LoadPlan.read(file);
        Iterator<Arrival> arrivals = plan.arrivals();
        int bins = 60;
        double lastsMs = plan.durationMs();
        long[] counts = new long[bins];
        long all = 0;
        for (; all < most && arrivals.hasNext(); all++) {
            Arrival arrival = arrivals.next();
            counts[(int) Math.min(bins - 1, arrival.atMs() * bins / lastsMs)]++;
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
            long top = 1;
            for (long count : counts) {
                top = Math.max(top, count);
            }
            double eachS = lastsMs / bins / 1000;
            for (int i = 0; i < bins; i++) {
                out.printf(Locale.ROOT, "%8.1f s %9.1f/s %s%n", i * eachS, counts[i] / eachS, "#".repeat((int)
                                (60 * counts[i] / top)));
            }
            out.printf(Locale.ROOT, "%d multigets in %.1f s, seed %d%n", all, lastsMs / 1000, plan.seed());
        }
        return 0;
    }
}
