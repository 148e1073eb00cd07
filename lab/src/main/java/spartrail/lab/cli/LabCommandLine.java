package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import spartrail.lab.file.InvalidInputException;

/** Finds the sub-command that the first one or two words name, parses its options and runs it. */
public final class LabCommandLine {
    static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put("load run", LoadRun::new);
        COMMANDS.put("load plan", LoadPreview::new);
        COMMANDS.put("load import", LoadImport::new);
        COMMANDS.put("load replay", LoadReplay::new);
        COMMANDS.put("load speed", LoadSpeed::new);
        COMMANDS.put("fleet run", FleetRun::new);
        COMMANDS.put("fleet front", FleetFront::new);
        COMMANDS.put("experiment run", ExperimentRun::new);
        COMMANDS.put("experiment list", ExperimentList::new);
        COMMANDS.put("experiment show", ExperimentShow::new);
        COMMANDS.put("experiment compare", ExperimentCompare::new);
        COMMANDS.put("experiment prune", ExperimentPrune::new);
        COMMANDS.put("dns ask", () -> new DnsAsk(false));
        COMMANDS.put("dns watch", () -> new DnsAsk(true));
        COMMANDS.put("nodes run", NodesRun::new);
        COMMANDS.put("nodes judge", NodesJudge::new);
        COMMANDS.put("nodes explore", NodesExplore::new);
        COMMANDS.put("nodes replay", NodesReplay::new);
        COMMANDS.put("nodes planted", NodesPlanted::new);
        COMMANDS.put("nodes figures", NodesFigures::new);
        COMMANDS.put("nodes model", NodesModel::new);
        COMMANDS.put("peers show", () -> new PeersShow(PeersShow.Mode.SHOW));
        COMMANDS.put("peers watch", () -> new PeersShow(PeersShow.Mode.WATCH));
        COMMANDS.put("peers explain", PeersExplain::new);
        COMMANDS.put("policy found", PolicyBootstrap::new);
        COMMANDS.put("policy propose", PolicyPropose::new);
        COMMANDS.put("policy abort", () -> new PolicyAbortOrRollback(PolicyAbortOrRollback.Mode.ABORT));
        COMMANDS.put("policy rollback", () -> new PolicyAbortOrRollback(PolicyAbortOrRollback.Mode.ROLLBACK));
        COMMANDS.put("policy show", () -> new PolicyShow(PolicyShow.Mode.SHOW));
        COMMANDS.put("policy history", () -> new PolicyShow(PolicyShow.Mode.HISTORY));
        COMMANDS.put("policy who", () -> new PolicyShow(PolicyShow.Mode.WHO));
        COMMANDS.put("policy diff", PolicyDiff::new);
        COMMANDS.put("drill list", DrillList::new);
        COMMANDS.put("drill run", DrillRun::new);
        COMMANDS.put("scale list", ScaleList::new);
        COMMANDS.put("scale run", ScaleRun::new);
        COMMANDS.put("subset even", () -> new SubsetFleet(SubsetFleet.Mode.EVEN));
        COMMANDS.put("subset check", () -> new SubsetFleet(SubsetFleet.Mode.CHECK));
        COMMANDS.put("subset planted", () -> new SubsetFleet(SubsetFleet.Mode.PLANTED));
        COMMANDS.put("completion", Completion::new);
    }

    private LabCommandLine() {}

    /** Runs the sub-command that {@code args} name and returns its exit status, 0, 1 or 2. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printUsage(args.length == 0 ? err : out);
            return args.length == 0 ? 2 : 0;
        }
        int words = args.length > 1 && COMMANDS.containsKey(args[0] + " " + args[1]) ? 2 : 1;
        String name = words == 2 ? args[0] + " " + args[1] : args[0];
        if (!COMMANDS.containsKey(name)) {
            boolean isGroup = COMMANDS.keySet().stream().anyMatch(known -> known.startsWith(args[0] + " "));
            err.println("spartrail: "
                    + (isGroup
                            ? "'" + args[0] + "' wants one of "
                                    + COMMANDS.keySet().stream()
                                            .filter(known -> known.startsWith(args[0] + " "))
                                            .toList()
                            : "no command is named '" + args[0] + "'; spartrail --help lists them"));
            return 2;
        }
        Command command = COMMANDS.get(name).get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(110));
        try {
            parser.parseArgument(java.util.Arrays.copyOfRange(args, words, args.length));
            if (command.help) {
                out.print("spartrail " + name);
                parser.printSingleLineUsage(out);
                out.println("\n" + command.summary());
                parser.printUsage(out);
                return 0;
            }
            Logs.configure(command.log);
            return command.run(out, err);
        } catch (CmdLineException | InvalidInputException e) {
            err.println("spartrail: " + e.getMessage());
            return 2;
        } catch (Exception e) {
            err.println("spartrail: " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        }
    }

    private static void printUsage(PrintStream out) {
        out.println("spartrail COMMAND [OPTION ...]; COMMAND --help prints the options of a command\n");
        String[][] nodeCommands = {
            {"serve", "runs a front node until SIGTERM"},
            {"check", "checks whether a node could start with a configuration"},
            {"simhost", "runs the decisions of simulated nodes over the simulator's protocol"},
            {"subset show", "prints which servers of a list a node uses, and which servers replace them"},
            {"version", "prints the version of this program"}
        };
        for (String[] line : nodeCommands) {
            out.printf("  %-20s %s%n", line[0], line[1]);
        }
        COMMANDS.forEach((name, command) ->
                out.printf("  %-20s %s%n", name, command.get().summary()));
    }
}
