package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** Prints the view that a running node has of the other nodes, once or at each change. */
final class PeersShow extends Command {
    enum Mode {
        SHOW,
        WATCH
    }

    @Option(
            name = "--at",
            metaVar = "HOST:PORT",
            required = true,
            usage = "gossip address of the running node to query")
    private String at;

    @Option(
            name = "--fleet",
            metaVar = "NAME",
            required = true,
            usage = "name of the fleet, as in the peers file of the node")
    private String fleet;

    @Option(name = "--json", usage = "print the view as JSON")
    private boolean json;

    @Option(name = "--seconds", metaVar = "S", usage = "how long watch runs (default 3600)")
    private double seconds = 3600;

    private final Mode mode;

    PeersShow(Mode mode) {
        this.mode = mode;
    }

    @Override
    String summary() {
        return mode == Mode.SHOW
                ? "prints the view that a running node has of the other front nodes"
                : "prints the view of a running node at each change of a standing, a doubt or the count of nodes";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        PeerViewClient client = new PeerViewClient(at, fleet);
        long untilNs = System.nanoTime() + (long) (1e9 * seconds);
        String printed = "";
        do {
            ObjectNode view = client.fetchView();
            String current = changeKey(view);
            if (!current.equals(printed)) {
                printView(out, view);
                printed = current;
            }
            if (mode == Mode.WATCH) {
                Thread.sleep(500);
            }
        } while (mode == Mode.WATCH && System.nanoTime() < untilNs);
        return 0;
    }

    /** The parts of a view whose change makes watch print it again. */
    private static String changeKey(ObjectNode view) {
        StringBuilder text = new StringBuilder(view.get("standing").asText()
                + view.get("doubt").asText()
                + view.get("there")
                + view.get("least")
                + view.get("most"));
        view.get("peers").forEach(peer -> text.append(peer.get("name").asText())
                .append(peer.get("standing").asText())
                .append(peer.get("startMs")));
        return text.toString();
    }

    private void printView(PrintStream out, ObjectNode view) {
        if (json) {
            out.println(view.toPrettyString());
            return;
        }
        out.printf(
                "%s is %s%s: %s nodes present, at least %s, at most %s%n",
                view.get("name").asText(),
                view.get("standing").asText(),
                view.get("doubt").asText().isEmpty()
                        ? ""
                        : ", in doubt (" + view.get("doubt").asText() + ")",
                view.get("there"),
                view.get("least"),
                view.get("most"));
        out.printf(
                "  %-16s %-8s %-8s %10s %10s  %-22s %-8s %s%n",
                "node", "standing", "sure", "for s", "heard s", "address", "zone", "from");
        for (JsonNode peer : view.get("peers")) {
            out.printf(
                    Locale.ROOT,
                    "  %-16s %-8s %-8s %10.1f %10s  %-22s %-8s %s%n",
                    peer.get("name").asText(),
                    peer.get("standing").asText(),
                    peer.get("sure").asText(),
                    peer.get("sinceMs").asDouble() / 1000,
                    peer.has("heardMs")
                            ? String.format(
                                    Locale.ROOT, "%.1f", peer.get("heardMs").asDouble() / 1000)
                            : "-",
                    peer.get("address").asText(),
                    peer.get("zone").asText(),
                    peer.get("from").asText());
        }
        view.get("counts")
                .fields()
                .forEachRemaining(count -> out.printf(
                        "  %-40s %d%n", count.getKey(), count.getValue().asLong()));
    }
}
