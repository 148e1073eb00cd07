package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.policy.LogOperation;
import spartrail.policy.replication.AdminClient;

/** Aborts a proposal that is not decided yet, or proposes an older version's settings again. */
final class PolicyCommand extends PolicyAt {
    /** Which of both. */
    enum What {
        ABORT,
        ROLLBACK
    }

    private final What what;

    @Argument(required = true, metaVar = "NUMBER", usage = "of the proposal, or of the version to go back to")
    private long number;

    @Option(name = "--wait", usage = "until it has ended")
    private boolean wait;

    @Option(name = "--who", metaVar = "NAME", usage = "who orders it, for the history (default: the user's name)")
    private String who = System.getProperty("user.name");

    @Option(name = "--json", usage = "one JSON object")
    private boolean json;

    PolicyCommand(What what) {
        this.what = what;
    }

    @Override
    String summary() {
        return what == What.ABORT
                ? "gives up a proposal that is not decided yet"
                : "proposes a new version with an older one's settings";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient operator = operator()) {
            return what == What.ABORT
                    ? ordered(operator, LogOperation.Kind.ABORT, number, "", who, wait, json, out, err)
                    : ordered(
                            operator,
                            LogOperation.Kind.PROPOSE,
                            0,
                            number == 0
                                    ? "{}"
                                    : entry(decider(operator), number)
                                            .get("settings")
                                            .asText(),
                            who + ", back to " + number,
                            wait,
                            json,
                            out,
                            err);
        }
    }
}
