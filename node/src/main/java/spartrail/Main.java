package spartrail;

import spartrail.cli.CommandLine;

/** The program: see {@link CommandLine} for its sub-commands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.exit(CommandLine.run(args, System.out, System.err));
    }
}
