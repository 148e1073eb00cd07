package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Why a running node holds another one for what it does. */
final class PeersExplain extends Command {
    @Argument(required = true, metaVar = "NODE", usage = "the name of the node that is asked about")
    private String name;

    @Option(
            name = "--at",
            metaVar = "HOST:PORT",
            required = true,
            usage = "where the node that knows listens for other nodes")
    private String at;

    @Option(name = "--fleet", metaVar = "NAME", required = true, usage = "the fleet's name, as in the peers' file")
    private String fleet;

    @Override
    String summary() {
        return "why a running node holds another one for alive, suspect or gone, since when and from whom";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        ObjectNode view = new PeersCommand(at, fleet).view();
        for (JsonNode peer : view.get("peers")) {
            if (peer.get("name").asText().equals(name)) {
                out.printf(
                        Locale.ROOT,
                        "%s holds %s for %s since %.1f s, told by %s: %s%n",
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
                                        "it answered this node itself %.1f s ago",
                                        peer.get("heardMs").asDouble() / 1000)
                                : "it never answered this node itself in this life");
                out.printf(
                        "  address %s, zone '%s', weight %s, program '%s', settings '%s', life since %d, turn %d%n",
                        peer.get("address").asText(),
                        peer.get("zone").asText(),
                        peer.get("weight"),
                        peer.get("program").asText(),
                        peer.get("settings").asText(),
                        peer.get("startMs").asLong(),
                        peer.get("turn").asInt());
                if (!view.get("doubt").asText().isEmpty()) {
                    out.println("  the node that says so is in doubt of itself: "
                            + view.get("doubt").asText());
                }
                return 0;
            }
        }
        err.println("spartrail: " + view.get("name").asText() + " knows no node named '" + name + "'");
        return 1;
    }
}
