package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.policy.LogOperation;
import spartrail.policy.replication.AdminClient;

/** Aborts an undecided proposal, or proposes the settings of an older version again. */
final class PolicyAbortOrRollback extends PolicyNodeCommand {
    enum Mode {
        ABORT,
        ROLLBACK
    }

    private final Mode mode;

    @Argument(
            required = true,
            metaVar = "NUMBER",
            usage = "number of the proposal to abort, or of the version to return to")
    private long number;

    @Option(
            name = "--wait",
            usage = "wait until the operation has ended; exit with status 0 only if the version takes effect")
    private boolean wait;

    @Option(
            name = "--who",
            metaVar = "NAME",
            usage = "name to record in the history as the operator (default: the user name)")
    private String operatorName = System.getProperty("user.name");

    @Option(name = "--json", usage = "print the outcome as one JSON object")
    private boolean json;

    PolicyAbortOrRollback(Mode mode) {
        this.mode = mode;
    }

    @Override
    String summary() {
        return mode == Mode.ABORT
                ? "aborts a proposal that is not decided yet"
                : "proposes a new version with the settings of an older one";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        try (AdminClient client = openClient()) {
            return mode == Mode.ABORT
                    ? submit(client, LogOperation.Kind.ABORT, number, "", operatorName, wait, json, out, err)
                    : submit(
                            client,
                            LogOperation.Kind.PROPOSE,
                            0,
                            number == 0
                                    ? "{}"
                                    : findEntry(fetchVoterStatus(client), number)
                                            .get("settings")
                                            .asText(),
                            operatorName + ", back to " + number,
                            wait,
                            json,
                            out,
                            err);
        }
    }
}
