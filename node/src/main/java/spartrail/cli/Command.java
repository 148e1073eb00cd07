package spartrail.cli;

import java.io.PrintStream;

/** A sub-command with its options. */
interface Command {
    /**
     * Runs the command and returns the exit status; an IllegalArgumentException names an unusable argument or the fault
     * of a configuration.
     */
    int run(PrintStream out, PrintStream err) throws Exception;
}
