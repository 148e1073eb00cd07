package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** A sub-command; its fields are its options. */
abstract class Command {
    @Option(name = "--help", aliases = "-h", usage = "say what this command takes", help = true)
    boolean help;

    @Option(name = "--log", metaVar = "plain|json", usage = "form of the log on standard error (default plain)")
    String log = "plain";

    /** One line for the list of commands. */
    abstract String summary();

    /** The exit status; a BadInput is told in one line and is status 2. */
    abstract int run(PrintStream out, PrintStream err) throws Exception;
}
