package spartrail.lab.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetListener;
import spartrail.lab.fleet.FleetPlan;
import sun.misc.Signal;

/** Runs stand-in servers and the roll that lists them until it is ended. */
final class FleetRun extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "the fleet")
    private Path file;

    @Option(name = "--for", metaVar = "SECONDS", usage = "end after so long (default: until SIGINT, SIGTERM or 'quit')")
    private double seconds = Double.POSITIVE_INFINITY;

    @Override
    String summary() {
        return "runs stand-in servers and their roll; lines on standard input change them while they run";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        FleetPlan plan = FleetPlan.read(file);
        CountDownLatch over = new CountDownLatch(1);
        try (Fleet fleet = new Fleet(plan, new FleetListener() {
            @Override
            public void onServerCrashed(String server, double load, double atMs) {
                out.println(server + " fell over");
            }

            @Override
            public void onAction(String what, double atMs) {
                out.println("done: " + what);
            }
        })) {
            for (int node = 0; node < plan.nodes(); node++) {
                out.println("node " + node + ": roll on " + fleet.discoveryAddress(node) + ", "
                        + plan.servers().size() + " servers from " + fleet.serverAddress(node, "s-0") + " on");
            }
            out.println("orders on standard input: WHAT SERVERS [BY] [LASTS_MS], figures, quit");
            fleet.startScript();
            Signal.handle(new Signal("INT"), signal -> over.countDown());
            Signal.handle(new Signal("TERM"), signal -> over.countDown());
            Thread orders = new Thread(() -> orders(fleet, out, over), "spartrail-orders");
            orders.setDaemon(true);
            orders.start();
            if (Double.isFinite(seconds)) {
                over.await(Math.round(1000 * seconds), java.util.concurrent.TimeUnit.MILLISECONDS);
            } else {
                over.await();
            }
            out.print(fleet.text());
        }
        return 0;
    }

    private static void orders(Fleet fleet, PrintStream out, CountDownLatch over) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isBlank()) {
                    continue;
                }
                if (line.trim().equals("quit")) {
                    over.countDown();
                    return;
                }
                if (line.trim().equals("figures")) {
                    out.print(fleet.text());
                    continue;
                }
                try {
                    fleet.runCommand(line);
                } catch (InvalidInputException e) {
                    out.println(e.getMessage());
                }
            }
        } catch (java.io.IOException e) {
            // No more orders.
        }
    }
}
