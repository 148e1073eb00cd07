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

/** Proposes a policy version; as a dry run, asks every node which changes the version would make. */
final class PolicyPropose extends PolicyNodeCommand {
    @Argument(
            required = true,
            metaVar = "FILE",
            usage = "file with the settings of the version; deploy/policy.schema.json is its schema")
    private Path file;

    @Option(
            name = "--dry-run",
            usage = "propose nothing; ask every node whether it could apply the version and what would change")
    private boolean dryRun;

    @Option(
            name = "--wait",
            usage = "wait until the version takes effect or fails; exit with status 0 only if it takes effect")
    private boolean wait;

    @Option(
            name = "--who",
            metaVar = "NAME",
            usage = "name to record in the history as the operator (default: the user name)")
    private String operatorName = System.getProperty("user.name");

    @Option(name = "--json", usage = "print the outcome as one JSON object")
    private boolean json;

    @Override
    String summary() {
        return "proposes a policy version, which takes effect at all nodes or at none";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        String settings;
        try {
            settings = PolicySettings.parse(Files.readString(file)).toJson();
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read");
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
        try (AdminClient client = openClient()) {
            return dryRun
                    ? dryRun(client, settings, out)
                    : submit(client, LogOperation.Kind.PROPOSE, 0, settings, operatorName, wait, json, out, err);
        }
    }

    private int dryRun(AdminClient client, String settings, PrintStream out) throws IOException {
        boolean allAccept = true;
        for (Map.Entry<String, String> node : findNodes().entrySet()) {
            String response;
            try {
                response = client.dryRun(node.getValue(), settings);
            } catch (IOException e) {
                response = "!" + e.getMessage();
            }
            allAccept &= !response.startsWith("!");
            out.println(node.getKey()
                    + (response.startsWith("!")
                            ? ": NO, " + response.substring(1)
                            : response.isEmpty() ? ": nothing would change" : ":"));
            if (!response.startsWith("!")) {
                response.lines().forEach(line -> out.println("  " + line));
            }
        }
        return allAccept ? 0 : 1;
    }
}
