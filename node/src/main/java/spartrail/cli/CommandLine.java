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

/** Parses the command line and runs the sub-command that it names. */
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

    /** The exit status for unusable arguments or an unusable configuration. */
    private static final int STATUS_UNUSABLE = 2;

    private static final int STATUS_FAILED = 1;
    private static final int USAGE_WIDTH = 110;

    private static final String USAGE =
            "usage: spartrail serve [--config FILE] [--record FILE] [--members FILE] [--peers FILE]"
                    + " | check [--start] [--members FILE] [--peers FILE] FILE | simhost"
                    + " | subset show --config FILE --list FILE | version; --help after a command prints its options";

    /** Prints the options of the command of this name; if there is none, prints the commands. */
    private static void printHelp(String name, PrintStream out) {
        Object command = createCommand(name);
        if (command == null) {
            out.println(USAGE);
            return;
        }
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        out.print("spartrail " + name);
        parser.printSingleLineUsage(out);
        out.println();
        parser.printUsage(out);
    }

    /** Creates the command of this name, or returns null if there is none. */
    private static Object createCommand(String name) {
        try {
            SubCommand[] subCommands = CommandLine.class
                    .getDeclaredField("command")
                    .getAnnotation(SubCommands.class)
                    .value();
            for (SubCommand subCommand : subCommands) {
                if (subCommand.name().equals(name)) {
                    return subCommand.impl().getDeclaredConstructor().newInstance();
                }
            }
            return null;
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("cannot create the command " + name, e);
        }
    }

    /** Runs the command that the arguments name; an unknown command or option prints the usage and returns status 2. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        // These must be set before the first use of a logger, and the argument parser uses one.
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
        } catch (CmdLineException e) {
            err.println("spartrail: " + e.getMessage());
            err.println(USAGE);
            return STATUS_UNUSABLE;
        } catch (IllegalArgumentException e) {
            err.println("spartrail: " + e.getMessage());
            return STATUS_UNUSABLE;
        } catch (Exception e) {
            // All other exceptions of the command are reported here, in one line.
            err.println("spartrail: " + (e.getMessage() == null ? e : e.getMessage()));
            return STATUS_FAILED;
        }
    }
}
