package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** A sub-command; its annotated fields are its options and arguments. */
abstract class Command {
    @Option(name = "--help", aliases = "-h", usage = "print the options and arguments of this command", help = true)
    boolean help;

    @Option(name = "--log", metaVar = "plain|json", usage = "format of the log lines on standard error (default plain)")
    String log = "plain";

    /** A one-line description, printed in the list of commands and in the help of this command. */
    abstract String summary();

    /**
     * Runs the command and returns its exit status. An {@link spartrail.lab.file.InvalidInputException} is printed as one
     * line, and the program exits with status 2.
     */
    abstract int run(PrintStream out, PrintStream err) throws Exception;
}
