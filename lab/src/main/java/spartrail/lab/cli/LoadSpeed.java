package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.GcInfo;
import java.io.PrintStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.NullResponder;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadReport;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;

/** Measures the throughput of the load generator against a responder in the same process that does no work. */
final class LoadSpeed extends Command {
    private static final Set<String> HEAP = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(pool -> pool.getType() == MemoryType.HEAP)
            .map(MemoryPoolMXBean::getName)
            .collect(Collectors.toSet());

    @Option(name = "--per-s", metaVar = "N", usage = "rate of multigets per second (default 20000)")
    private double perS = 20_000;

    @Option(name = "--seconds", metaVar = "S", usage = "duration of the measurement (default 10)")
    private double seconds = 10;

    @Option(
            name = "--answer-ms",
            metaVar = "MS",
            usage = "delay of the responses; a longer delay keeps more connections open (default 0)")
    private double answerMs;

    @Option(name = "--connections", metaVar = "N", usage = "maximum number of connections (default 500)")
    private int connections = 500;

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean json;

    @Override
    String summary() {
        return "measures the load generator against a responder that does no work: rate, generator lag, connections, heap";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        LoadPlan warmupPlan = DrillPlans.even(2000, 4000, 60_000, 50, 1);
        LoadPlan plan = DrillPlans.parse(String.format(
                Locale.ROOT,
                "{'gaps':{'kind':'poisson'},'lagBoundMs':1,'connections':"
                        + "{'most':%d},'phases':[{'lastsMs':%.0f,'rate':{'shape':'steady','perS':%.3f}}],'streams':[{'opTypes':"
                        + "[{'name':'orders'}],'shards':{'of':16,'least':2},'clientMs':60000}]}",
                connections,
                1000 * seconds,
                perS));
        double[] delayMs = new double[1];
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs + delayMs[0])) {
            // Warms up the responder: until its code is compiled it responds late, and the further connections that are
            // open meanwhile would distort the measurement.
            try (LoadSession warm = new LoadSession(
                    DrillPlans.at(warmupPlan, responder.address()),
                    warmupPlan.arrivals(),
                    warmupPlan.durationMs(),
                    LoadListener.NONE)) {
                warm.await(60_000);
            }
            delayMs[0] = answerMs;
            return measure(responder, plan, out, err);
        }
    }

    private int measure(NullResponder responder, LoadPlan plan, PrintStream out, PrintStream err) throws Exception {
        long[] heapMb = new long[4];
        int mostConnections = 0;
        try (LoadSession session = new LoadSession(
                        DrillPlans.at(plan, responder.address()),
                        plan.arrivals(),
                        plan.durationMs(),
                        LoadListener.NONE);
                LiveView live = new LiveView(err, List::of)) {
            while (!session.await(250)) {
                LoadSession.Snapshot snapshot = session.snapshot();
                live.show(snapshot);
                mostConnections = Math.max(mostConnections, snapshot.connections());
                int quarter = (int) Math.min(3, 4 * snapshot.ms() / (1000 * seconds));
                heapMb[quarter] = heapBytesAfterCollection() >> 20;
            }
            ObjectNode tree = session.report();
            tree.put("mostConnections", mostConnections);
            tree.set("heapAfterCollectionMb", Document.JSON.valueToTree(heapMb));
            if (json) {
                out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree));
            } else {
                out.print(LoadReport.text(tree));
                out.printf(
                        "at most %d connections; heap after collections in each quarter of the run %d, %d, %d, %d MB%n",
                        mostConnections, heapMb[0], heapMb[1], heapMb[2], heapMb[3]);
            }
            return tree.get("fit").asBoolean() ? 0 : 1;
        }
    }

    /** Heap in use after the last collection of any kind; between collections the heap also contains garbage. */
    private static long heapBytesAfterCollection() {
        long newestMs = -1;
        long usedBytes = 0;
        for (GarbageCollectorMXBean bean : ManagementFactory.getGarbageCollectorMXBeans()) {
            GcInfo info =
                    bean instanceof com.sun.management.GarbageCollectorMXBean known ? known.getLastGcInfo() : null;
            if (info != null && info.getEndTime() > newestMs) {
                newestMs = info.getEndTime();
                usedBytes = info.getMemoryUsageAfterGc().entrySet().stream()
                        .filter(pool -> HEAP.contains(pool.getKey()))
                        .mapToLong(pool -> pool.getValue().getUsed())
                        .sum();
            }
        }
        return usedBytes;
    }
}
