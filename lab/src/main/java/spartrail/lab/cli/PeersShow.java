package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** What a running node knows of the others, once or as it changes. */
final class PeersShow extends Command {
    enum What {
        SHOW,
        WATCH
    }

    @Option(name = "--at", metaVar = "HOST:PORT", required = true, usage = "where the node listens for other nodes")
    private String at;

    @Option(name = "--fleet", metaVar = "NAME", required = true, usage = "the fleet's name, as in the peers' file")
    private String fleet;

    @Option(name = "--json", usage = "as JSON")
    private boolean json;

    @Option(name = "--seconds", metaVar = "S", usage = "watch for so long (default 3600)")
    private double seconds = 3600;

    private final What what;

    PeersShow(What what) {
        this.what = what;
    }

    @Override
    String summary() {
        return what == What.SHOW
                ? "what a running node knows of the other front nodes"
                : "the same, shown again whenever a standing, a doubt or the count changes";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        PeersCommand question = new PeersCommand(at, fleet);
        long untilNs = System.nanoTime() + (long) (1e9 * seconds);
        String last = "";
        do {
            ObjectNode view = question.view();
            String now = standing(view);
            if (!now.equals(last)) {
                print(out, view);
                last = now;
            }
            if (what == What.WATCH) {
                Thread.sleep(500);
            }
        } while (what == What.WATCH && System.nanoTime() < untilNs);
        return 0;
    }

    private static String standing(ObjectNode view) {
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

    private void print(PrintStream out, ObjectNode view) {
        if (json) {
            out.println(view.toPrettyString());
            return;
        }
        out.printf(
                "%s is %s%s: %s there, at least %s, at most %s%n",
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
