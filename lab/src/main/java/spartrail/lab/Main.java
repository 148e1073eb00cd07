package spartrail.lab;

import spartrail.lab.cli.LabCommandLine;

/** The lab's program: see {@link LabCommandLine} for its sub-commands. */
public final class Main {
    private Main() {}

    /** Runs the sub-command that the arguments name and exits with its status. */
    public static void main(String[] args) {
        System.exit(LabCommandLine.run(args, System.out, System.err));
    }
}
