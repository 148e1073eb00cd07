package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.policy.replication.AdminClient;

/** Prints the policy version that one node or each node applies, or the history of proposals. */
final class PolicyShow extends PolicyNodeCommand {
    enum Mode {
        SHOW,
        HISTORY,
        WHO
    }

    private final Mode mode;

    @Option(name = "--json", usage = "print the result as JSON")
    private boolean json;

    PolicyShow(Mode mode) {
        this.mode = mode;
    }

    @Override
    String summary() {
        return switch (mode) {
            case SHOW -> "prints the policy version that a running node applies, until when, and what it knows of the log: current entries, leader, terms";
            case HISTORY -> "prints the proposed versions, their authors and their outcomes";
            case WHO -> "prints the policy version that each node applies, in which state and until when";
        };
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient client = openClient()) {
            switch (mode) {
                case SHOW -> printStatus(Document.JSON.readTree(client.fetchStatus(at)), out);
                case HISTORY -> printHistory(fetchVoterStatus(client), out);
                default -> printEachNode(client, out);
            }
            return 0;
        }
    }

    private void printStatus(JsonNode page, PrintStream out) {
        if (json) {
            out.println(page);
            return;
        }
        out.println(describeState(page));
        for (String name : new String[] {"holds", "open"}) {
            if (page.has(name)) {
                JsonNode entry = page.get(name);
                out.println("  " + name + ": " + entry.get("number") + " "
                        + entry.get("stage").asText() + ", by '"
                        + entry.get("by").asText() + "': "
                        + entry.get("settings").asText());
            }
        }
        out.println("  leader: " + page.get("leader").asText());
        out.println("  terms: " + page.get("terms").asText());
    }

    private static String describeState(JsonNode page) {
        long forMs = page.get("forMs").asLong();
        return page.get("node").asText() + " applies "
                + (page.get("by").asText().isEmpty()
                        ? "no version yet"
                        : page.get("by").asText())
                + (page.get("guarded").asBoolean() ? ", joint settings" : "")
                + (forMs >= 0 ? ", lease valid for " + forMs + " ms" : ", without a valid lease")
                + (page.get("leads").asBoolean()
                        ? ", leader"
                        : page.get("decides").asBoolean() ? ", voter" : "")
                + (page.get("unfit").asText().isEmpty()
                        ? ""
                        : ", NOT READY: " + page.get("unfit").asText());
    }

    private void printHistory(JsonNode page, PrintStream out) {
        if (json) {
            out.println(page.get("entries"));
            return;
        }
        for (JsonNode entry : page.get("entries")) {
            out.printf(
                    "%5d %-8s by '%s' %s%n      %s%n",
                    entry.get("number").asLong(),
                    entry.get("stage").asText(),
                    entry.get("by").asText(),
                    entry.get("why").asText(),
                    entry.get("settings").asText());
        }
    }

    private void printEachNode(AdminClient client, PrintStream out) throws IOException {
        ArrayNode statusPages = Document.JSON.createArrayNode();
        for (Map.Entry<String, String> node : findNodes().entrySet()) {
            try {
                JsonNode page = Document.JSON.readTree(client.fetchStatus(node.getValue()));
                statusPages.add(page);
                if (!json) {
                    out.println(describeState(page));
                }
            } catch (IOException e) {
                statusPages.addObject().put("node", node.getKey()).put("error", e.getMessage());
                if (!json) {
                    out.println(node.getKey() + ": " + e.getMessage());
                }
            }
        }
        if (json) {
            out.println(statusPages);
        }
    }
}
