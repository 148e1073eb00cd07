package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.PeersFigures;
import spartrail.peers.GossipTimings;

/** Tables of what peers take and cost, on the virtual network. */
final class NodesFigures extends Command {
    @Option(name = "--size", metaVar = "NODES", usage = "a size of fleet; may be repeated (default 10, 100, 400)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(name = "--runs", metaVar = "N", usage = "runs of each, from seeds 1 to N (default 8)")
    private int runs = 8;

    @Override
    String summary() {
        return "tables: how soon a crash is known, how often nodes err under a fault, what their talk costs";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        out.println("| nodes | fault | known: p50 ms | p99 ms | most ms | bound ms | false suspicions an hour and node "
                + "| false ends | bytes/s a node, mean | most | bound |");
        out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        for (int size : sizes.isEmpty() ? List.of(10, 100, 400) : sizes) {
            for (String fault : PeersFigures.FAULTS) {
                PeersFigures.Row row = PeersFigures.measure(size, fault, runs, GossipTimings.DEFAULT);
                out.printf(
                        Locale.ROOT,
                        "| %d | %s | %s | %s | %s | %.0f | %.2f | %.2f | %.0f | %.0f | %.0f |%n",
                        size,
                        fault,
                        ms(row.p50Ms()),
                        ms(row.p99Ms()),
                        ms(row.mostMs()),
                        row.boundMs(),
                        row.suspicionsAnHour(),
                        row.endsAnHour(),
                        row.bytesPerS(),
                        row.mostBytesPerS(),
                        row.boundBytesPerS());
            }
        }
        return 0;
    }

    private static String ms(double ms) {
        return Double.isNaN(ms) ? "-" : String.valueOf(Math.round(ms));
    }
}
