package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import spartrail.policy.PolicySettings;
import spartrail.policy.replication.AdminClient;

/** Prints the settings that differ between two policy versions. */
final class PolicyDiff extends PolicyNodeCommand {
    @Argument(
            index = 0,
            required = true,
            metaVar = "A",
            usage = "number of the old version; 0 stands for empty settings")
    private long oldNumber;

    @Argument(
            index = 1,
            required = true,
            metaVar = "B",
            usage = "number of the new version; 0 stands for empty settings")
    private long newNumber;

    @Override
    String summary() {
        return "prints the fields whose values differ between two policy versions";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient client = openClient()) {
            var page = fetchVoterStatus(client);
            PolicySettings from = PolicySettings.parse(
                    oldNumber == 0
                            ? "{}"
                            : findEntry(page, oldNumber).get("settings").asText());
            PolicySettings to = PolicySettings.parse(
                    newNumber == 0
                            ? "{}"
                            : findEntry(page, newNumber).get("settings").asText());
            from.differencesTo(to).forEach(out::println);
            return 0;
        }
    }
}
