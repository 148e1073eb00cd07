package spartrail.lab;

import spartrail.lab.cli.LabCommandLine;

/** The lab's program: see {@link LabCommandLine} for its sub-commands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.exit(LabCommandLine.run(args, System.out, System.err));
    }
}
