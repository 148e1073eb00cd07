package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints why a running node considers another node alive, suspect or gone. */
final class PeersExplain extends Command {
    @Argument(required = true, metaVar = "NODE", usage = "name of the node to explain")
    private String name;

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

    @Override
    String summary() {
        return "prints why a running node considers another node alive, suspect or gone, since when, and which node reported it";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        ObjectNode view = new PeerViewClient(at, fleet).fetchView();
        for (JsonNode peer : view.get("peers")) {
            if (peer.get("name").asText().equals(name)) {
                out.printf(
                        Locale.ROOT,
                        "%s has considered %s %s for %.1f s, reported by %s: %s%n",
                        view.get("name").asText(),
                        name,
                        peer.get("standing").asText(),
                        peer.get("sinceMs").asDouble() / 1000,
                        peer.get("from").asText(),
                        peer.get("why").asText());
                out.printf(
                        Locale.ROOT,
                        "  sure: %s; %s%n",
                        peer.get("sure").asText(),
                        peer.has("heardMs")
                                ? String.format(
                                        Locale.ROOT,
                                        "it responded directly to this node %.1f s ago",
                                        peer.get("heardMs").asDouble() / 1000)
                                : "it has not responded directly to this node since it started");
                out.printf(
                        "  address %s, zone '%s', weight %s, program '%s', settings '%s', started at %d, refutations %d%n",
                        peer.get("address").asText(),
                        peer.get("zone").asText(),
                        peer.get("weight"),
                        peer.get("program").asText(),
                        peer.get("settings").asText(),
                        peer.get("startMs").asLong(),
                        peer.get("turn").asInt());
                if (!view.get("doubt").asText().isEmpty()) {
                    out.println("  the queried node has doubts about its own view: "
                            + view.get("doubt").asText());
                }
                return 0;
            }
        }
        err.println("spartrail: " + view.get("name").asText() + " knows no node named '" + name + "'");
        return 1;
    }
}
