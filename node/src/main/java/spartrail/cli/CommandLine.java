package spartrail.cli;

import java.io.PrintStream;
import java.util.Arrays;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
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
        @SubCommand(name = "subset", impl = SubsetCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)
    })
    private Command command;

    private static final String USAGE =
            "usage: spartrail serve [--config FILE] [--record FILE] [--members FILE] [--peers FILE]"
                    + " | check [--start] [--members FILE] [--peers FILE] FILE | simhost"
                    + " | subset show --config FILE --list FILE | version; --help behind a command tells its options";

    /** What the command named first takes; without one, which there are. */
    private static void printHelp(String name, PrintStream out) {
        Object command = null;
        try {
            for (SubCommand subCommand : CommandLine.class
                    .getDeclaredField("command")
                    .getAnnotation(SubCommands.class)
                    .value()) {
                if (subCommand.name().equals(name)) {
                    command = subCommand.impl().getDeclaredConstructor().newInstance();
                }
            }
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("a command that cannot be made", e);
        }
        if (command == null) {
            out.println(USAGE);
            return;
        }
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(110));
        out.print("spartrail " + name);
        parser.printSingleLineUsage(out);
        out.println();
        parser.printUsage(out);
    }

    /** Runs the command that the arguments name; what is unknown ends with the usage and status 2. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        // Before anything logs, the parser of arguments included.
        System.setProperty("java.util.logging.manager", "spartrail.cli.DrainingLogManager");
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        CommandLine commandLine = new CommandLine();
        if (Arrays.asList(args).contains("--help")) {
            printHelp(args[0], out);
            return 0;
        }
        try {
            new CmdLineParser(commandLine).parseArgument(args);
            return commandLine.command.run(out, err);
        } catch (CmdLineException | IllegalArgumentException e) {
            err.println("spartrail: " + e.getMessage());
            if (e instanceof CmdLineException) {
                err.println(USAGE);
            }
            return 2;
        } catch (Exception e) {
            err.println("spartrail: " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        }
    }
}
