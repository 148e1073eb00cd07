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

/** How fast the generator itself is: it sends to a responder in the same process that has nothing to do. */
final class LoadSpeed extends Command {
    private static final Set<String> HEAP = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(pool -> pool.getType() == MemoryType.HEAP)
            .map(MemoryPoolMXBean::getName)
            .collect(Collectors.toSet());

    @Option(name = "--per-s", metaVar = "N", usage = "multigets a second (default 20000)")
    private double perS = 20_000;

    @Option(name = "--seconds", metaVar = "S", usage = "for so long (default 10)")
    private double seconds = 10;

    @Option(
            name = "--answer-ms",
            metaVar = "MS",
            usage = "the responder answers so much later; with it connections pile up")
    private double answerMs;

    @Option(name = "--connections", metaVar = "N", usage = "most connections (default 500)")
    private int connections = 500;

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean json;

    @Override
    String summary() {
        return "measures the generator itself against a null responder: rate, own lag, connections, heap";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        LoadPlan warming = DrillPlans.even(2000, 4000, 60_000, 50, 1);
        LoadPlan plan = DrillPlans.parse(String.format(
                Locale.ROOT,
                "{'gaps':{'kind':'poisson'},'lagBoundMs':1,'connections':"
                        + "{'most':%d},'phases':[{'lastsMs':%.0f,'rate':{'shape':'steady','perS':%.3f}}],'streams':[{'opTypes':"
                        + "[{'name':'orders'}],'shards':{'of':16,'least':2},'clientMs':60000}]}",
                connections,
                1000 * seconds,
                perS));
        double[] laterMs = new double[1];
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs + laterMs[0])) {
            // Warms the responder up: one that still compiles answers late, connections pile up, and that would be
            // measured.
            try (LoadSession warm = new LoadSession(
                    DrillPlans.at(warming, responder.address()),
                    warming.arrivals(),
                    warming.durationMs(),
                    LoadListener.NONE)) {
                warm.await(60_000);
            }
            laterMs[0] = answerMs;
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
                heapMb[quarter] = afterCollection() >> 20;
            }
            ObjectNode tree = session.report();
            tree.put("mostConnections", mostConnections);
            tree.set("heapAfterCollectionMb", Document.JSON.valueToTree(heapMb));
            if (json) {
                out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree));
            } else {
                out.print(LoadReport.text(tree));
                out.printf(
                        "most connections %d, heap after collections by quarters of the run %d, %d, %d, %d MB%n",
                        mostConnections, heapMb[0], heapMb[1], heapMb[2], heapMb[3]);
            }
            return tree.get("fit").asBoolean() ? 0 : 1;
        }
    }

    /** What the last collection of any kind left in the whole heap; what is used in between says nothing. */
    private static long afterCollection() {
        long newestMs = -1;
        long left = 0;
        for (GarbageCollectorMXBean bean : ManagementFactory.getGarbageCollectorMXBeans()) {
            GcInfo info =
                    bean instanceof com.sun.management.GarbageCollectorMXBean known ? known.getLastGcInfo() : null;
            if (info != null && info.getEndTime() > newestMs) {
                newestMs = info.getEndTime();
                left = info.getMemoryUsageAfterGc().entrySet().stream()
                        .filter(pool -> HEAP.contains(pool.getKey()))
                        .mapToLong(pool -> pool.getValue().getUsed())
                        .sum();
            }
        }
        return left;
    }
}
