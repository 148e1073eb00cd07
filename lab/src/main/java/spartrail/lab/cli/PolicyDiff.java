package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import spartrail.policy.PolicySettings;
import spartrail.policy.replication.AdminClient;

/** What two versions state differently. */
final class PolicyDiff extends PolicyAt {
    @Argument(index = 0, required = true, metaVar = "A", usage = "a version's number; 0 states nothing")
    private long one;

    @Argument(index = 1, required = true, metaVar = "B", usage = "another one's")
    private long other;

    @Override
    String summary() {
        return "what two versions state differently, field by field";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient operator = operator()) {
            var page = decider(operator);
            PolicySettings from = PolicySettings.parse(
                    one == 0 ? "{}" : entry(page, one).get("settings").asText());
            PolicySettings to = PolicySettings.parse(
                    other == 0 ? "{}" : entry(page, other).get("settings").asText());
            from.differencesTo(to).forEach(out::println);
            return 0;
        }
    }
}
