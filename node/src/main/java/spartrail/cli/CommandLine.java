package spartrail.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line: one of its sub-commands, run to its exit status. */
public final class CommandLine {
    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "simhost", impl = SimHostCommand.class),
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)})
    private Command command;

    /** Runs the command that the arguments name; what is unknown ends with the usage and status 2. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        // Before anything logs, the parser of arguments included.
        System.setProperty("java.util.logging.manager", "spartrail.cli.DrainingLogManager");
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        CommandLine line = new CommandLine();
        try {
            new CmdLineParser(line).parseArgument(args);
            return line.command.run(out, err);
        } catch (CmdLineException | IllegalArgumentException e) {
            err.println("spartrail: " + e.getMessage());
            if (e instanceof CmdLineException) {
                err.println("usage: spartrail serve [--config FILE] [--record FILE] [--members FILE] | check [--start] [--members FILE] FILE | simhost | version");
            }
            return 2;
        } catch (Exception e) {
            err.println("spartrail: " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        }
    }
}
