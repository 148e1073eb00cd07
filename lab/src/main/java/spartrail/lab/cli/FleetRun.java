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

/** Runs emulated index servers and the discovery service that lists them, until a signal, a time limit or "quit". */
final class FleetRun extends Command {
    @Argument(required = true, metaVar = "FILE", usage = "file that describes the fleet")
    private Path file;

    @Option(
            name = "--for",
            metaVar = "SECONDS",
            usage = "stop after this time (default: run until SIGINT, SIGTERM or 'quit')")
    private double seconds = Double.POSITIVE_INFINITY;

    @Override
    String summary() {
        return "runs emulated index servers and their discovery service; commands on standard input change them during the run";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        FleetPlan plan = FleetPlan.read(file);
        CountDownLatch stopRequested = new CountDownLatch(1);
        try (Fleet fleet = new Fleet(plan, new FleetListener() {
            @Override
            public void onServerCrashed(String server, double load, double atMs) {
                out.println(server + " crashed under load");
            }

            @Override
            public void onAction(String what, double atMs) {
                out.println("done: " + what);
            }
        })) {
            for (int node = 0; node < plan.nodes(); node++) {
                out.println("node " + node + ": discovery at " + fleet.discoveryAddress(node) + ", "
                        + plan.servers().size() + " servers on ports from " + fleet.serverAddress(node, "s-0")
                        + " upwards");
            }
            out.println(
                    "commands on standard input: WHAT SERVERS [BY] [LASTS_MS] applies a change, figures prints counts, quit stops");
            fleet.startScript();
            Signal.handle(new Signal("INT"), signal -> stopRequested.countDown());
            Signal.handle(new Signal("TERM"), signal -> stopRequested.countDown());
            Thread commandReader = new Thread(() -> readCommands(fleet, out, stopRequested), "spartrail-orders");
            commandReader.setDaemon(true);
            commandReader.start();
            if (Double.isFinite(seconds)) {
                stopRequested.await(Math.round(1000 * seconds), java.util.concurrent.TimeUnit.MILLISECONDS);
            } else {
                stopRequested.await();
            }
            out.print(fleet.text());
        }
        return 0;
    }

    private static void readCommands(Fleet fleet, PrintStream out, CountDownLatch stopRequested) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isBlank()) {
                    continue;
                }
                if (line.trim().equals("quit")) {
                    stopRequested.countDown();
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
            // Standard input cannot be read; the fleet runs on without further commands.
        }
    }
}
