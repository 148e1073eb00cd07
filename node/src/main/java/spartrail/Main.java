package spartrail;

import spartrail.cli.CommandLine;

/** The entry point of the program; {@link CommandLine} has the sub-commands. */
public final class Main {
    private Main() {}

    /** Runs a sub-command and exits with its status. */
    public static void main(String[] args) {
        System.exit(CommandLine.run(args, System.out, System.err));
    }
}
