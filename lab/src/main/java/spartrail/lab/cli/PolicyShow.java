package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.policy.replication.AdminClient;

/** By what a node goes; by what each of them goes; and what became of proposals. */
final class PolicyShow extends PolicyAt {
    /** Which of them. */
    enum What {
        SHOW,
        HISTORY,
        WHO
    }

    private final What what;

    @Option(name = "--json", usage = "as JSON")
    private boolean json;

    PolicyShow(What what) {
        this.what = what;
    }

    @Override
    String summary() {
        return switch (what) {
            case SHOW -> "by which version a running node decides, until when, and what it knows of the log";
            case HISTORY -> "what was proposed, by whom, and what came of it";
            case WHO -> "by which version each node decides, in which state, until when";
        };
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient operator = operator()) {
            switch (what) {
                case SHOW -> show(Document.JSON.readTree(operator.fetchStatus(at)), out);
                case HISTORY -> history(decider(operator), out);
                default -> who(operator, out);
            }
            return 0;
        }
    }

    private void show(JsonNode page, PrintStream out) {
        if (json) {
            out.println(page);
            return;
        }
        out.println(state(page));
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

    private static String state(JsonNode page) {
        long forMs = page.get("forMs").asLong();
        return page.get("node").asText() + " goes by "
                + (page.get("by").asText().isEmpty()
                        ? "nothing yet"
                        : page.get("by").asText())
                + (page.get("guarded").asBoolean() ? ", guarded" : "")
                + (forMs >= 0 ? ", for " + forMs + " ms if it hears no more" : ", out of touch")
                + (page.get("leads").asBoolean()
                        ? ", leads"
                        : page.get("decides").asBoolean() ? ", decides" : "")
                + (page.get("unfit").asText().isEmpty()
                        ? ""
                        : ", NOT READY: " + page.get("unfit").asText());
    }

    private void history(JsonNode page, PrintStream out) {
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

    private void who(AdminClient operator, PrintStream out) throws IOException {
        ArrayNode all = Document.JSON.createArrayNode();
        for (Map.Entry<String, String> node : nodes().entrySet()) {
            try {
                JsonNode page = Document.JSON.readTree(operator.fetchStatus(node.getValue()));
                all.add(page);
                if (!json) {
                    out.println(state(page));
                }
            } catch (IOException e) {
                all.addObject().put("node", node.getKey()).put("error", e.getMessage());
                if (!json) {
                    out.println(node.getKey() + ": " + e.getMessage());
                }
            }
        }
        if (json) {
            out.println(all);
        }
    }
}
