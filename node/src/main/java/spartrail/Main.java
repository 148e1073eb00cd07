package spartrail;

import spartrail.cli.CommandLine;

/** The program: see {@link CommandLine} for its sub-commands. */
public final class Main {
    private Main() {}

    /** Runs a sub-command and exits with its status. */
    public static void main(String[] args) {
        System.exit(CommandLine.run(args, System.out, System.err));
    }
}
