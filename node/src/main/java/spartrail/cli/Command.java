package spartrail.cli;

import java.io.PrintStream;

/** A sub-command with its options. */
interface Command {
    /** The exit status. An IllegalArgumentException tells of an unusable configuration. */
    int run(PrintStream out, PrintStream err) throws Exception;
}
