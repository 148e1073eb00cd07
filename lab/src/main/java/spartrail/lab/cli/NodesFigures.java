package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Option;
import spartrail.lab.simulation.PeersFigures;
import spartrail.peers.GossipTimings;

/** Prints tables of detection times, errors and message costs of gossip on the simulated network. */
final class NodesFigures extends Command {
    @Option(
            name = "--size",
            metaVar = "NODES",
            usage = "number of nodes in the fleet; may be repeated (default 10, 100, 400)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            name = "--runs",
            metaVar = "N",
            usage = "number of runs for each size and fault, with seeds 1 to N (default 8)")
    private int runs = 8;

    @Override
    String summary() {
        return "prints tables for gossip: time to detect a crash, false suspicions under each fault, bytes sent";
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
                        formatMs(row.p50Ms()),
                        formatMs(row.p99Ms()),
                        formatMs(row.mostMs()),
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

    private static String formatMs(double ms) {
        return Double.isNaN(ms) ? "-" : String.valueOf(Math.round(ms));
    }
}
