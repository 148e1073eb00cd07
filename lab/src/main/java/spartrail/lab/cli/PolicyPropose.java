package spartrail.lab.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.InvalidInputException;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicySettings;
import spartrail.policy.replication.AdminClient;

/** Proposes a version of policy, or asks every node what it would change there. */
final class PolicyPropose extends PolicyAt {
    @Argument(required = true, metaVar = "FILE", usage = "the version; deploy/policy.schema.json has its form")
    private Path file;

    @Option(
            name = "--dry-run",
            usage = "propose nothing: ask every node whether it could apply it, and what would change")
    private boolean dryRun;

    @Option(name = "--wait", usage = "until it holds or is refused; status 0 only if it holds")
    private boolean wait;

    @Option(name = "--who", metaVar = "NAME", usage = "who proposes it, for the history (default: the user's name)")
    private String who = System.getProperty("user.name");

    @Option(name = "--json", usage = "one JSON object")
    private boolean json;

    @Override
    String summary() {
        return "proposes a version of policy: it takes hold at all nodes, or at none";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        String settings;
        try {
            settings = PolicySettings.parse(Files.readString(file)).toJson();
        } catch (IOException e) {
            throw new InvalidInputException("cannot read " + file);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
        try (AdminClient operator = operator()) {
            return dryRun
                    ? tried(operator, settings, out)
                    : ordered(operator, LogOperation.Kind.PROPOSE, 0, settings, who, wait, json, out, err);
        }
    }

    private int tried(AdminClient operator, String settings, PrintStream out) throws IOException {
        boolean good = true;
        for (Map.Entry<String, String> node : nodes().entrySet()) {
            String said;
            try {
                said = operator.dryRun(node.getValue(), settings);
            } catch (IOException e) {
                said = "!" + e.getMessage();
            }
            good &= !said.startsWith("!");
            out.println(node.getKey()
                    + (said.startsWith("!")
                            ? ": NO, " + said.substring(1)
                            : said.isEmpty() ? ": nothing would change" : ":"));
            if (!said.startsWith("!")) {
                said.lines().forEach(line -> out.println("  " + line));
            }
        }
        return good ? 0 : 1;
    }
}
