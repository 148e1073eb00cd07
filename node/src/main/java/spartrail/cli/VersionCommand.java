package spartrail.cli;

import java.io.PrintStream;

/** Prints the version of the program. */
public final class VersionCommand implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        out.println("spartrail " + (version == null ? "(not packaged)" : version));
        return 0;
    }
}
