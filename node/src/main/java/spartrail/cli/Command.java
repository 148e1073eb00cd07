package spartrail.cli;

import java.io.PrintStream;

/** A sub-command with its options. */
interface Command {
    /** Runs to the exit status; an IllegalArgumentException says what of the arguments or the configuration cannot be used. */
    int run(PrintStream out, PrintStream err) throws Exception;
}
