package spartrail.lab;

import spartrail.lab.cli.LabCommandLine;

/** Entry point of the lab's command line; {@link LabCommandLine} lists the sub-commands. */
public final class Main {
    private Main() {}

    /** Runs the sub-command given by the arguments and exits with its status. */
    public static void main(String[] args) {
        System.exit(LabCommandLine.run(args, System.out, System.err));
    }
}
