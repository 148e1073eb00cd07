package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.subset.FleetShape;
import spartrail.lab.subset.SubsetFigures;
import spartrail.lab.subset.SubsetMutation;
import spartrail.lab.subset.SubsetRun;
import spartrail.subset.SubsetSettings;

/**
 * Runs fleets of hollow nodes that use subsets: compares how evenly they share the servers, checks the rules of subsets,
 * or checks that these rules detect mutations.
 */
final class SubsetFleet extends Command {
    enum Mode {
        EVEN,
        CHECK,
        PLANTED
    }

    @Option(name = "--nodes", metaVar = "N", usage = "number of front nodes (default 100)")
    private int nodes = 100;

    @Option(name = "--servers", metaVar = "N", usage = "number of index servers (default 2000)")
    private int servers = 2000;

    @Option(name = "--shards", metaVar = "N", usage = "number of shards; each server holds one (default 50)")
    private int shards = 50;

    @Option(name = "--zones", metaVar = "N", usage = "number of zones (default 8; 4 for check and planted)")
    private int zones;

    @Option(
            name = "--replicas",
            metaVar = "N",
            usage = "number of replicas of each shard in a subset (default 8; 4 for check and planted)")
    private int replicas;

    @Option(
            name = "--least-zones",
            metaVar = "N",
            usage = "minimum number of zones of these replicas (default 2; 3 for check and planted)")
    private int leastZones;

    @Option(
            name = "--regions",
            metaVar = "N",
            usage = "for even: number of regions, each with its own nodes, servers and endpoint list (default 1)")
    private int regions = 1;

    @Option(
            name = "--seeds",
            metaVar = "N",
            usage = "for check and planted: run seeds 1 to N (default 100; 10 for planted)")
    private int seeds;

    @Option(
            name = "--changes",
            metaVar = "N",
            usage = "for check and planted: number of single changes in each of the three phases of a run (default 10)")
    private int changes = 10;

    private final Mode mode;

    SubsetFleet(Mode mode) {
        this.mode = mode;
        // With these smaller values the check also meets shards for which the minimum number of zones restricts the
        // choice.
        boolean checks = mode != Mode.EVEN;
        zones = checks ? 4 : 8;
        replicas = checks ? 4 : 8;
        leastZones = checks ? 3 : 2;
    }

    @Override
    String summary() {
        return switch (mode) {
            case EVEN -> "compares ways to choose subsets on hollow nodes: nodes per server, and connections moved by a change";
            case CHECK -> "checks the rules of subsets after each change, through losses of servers and diverging endpoint lists";
            case PLANTED -> "runs the check with mutated subset code; exits with status 1 if a mutation is not detected";
        };
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (nodes < 1 || servers < 1 || shards < 1 || zones < 1 || regions < 1 || changes < 1 || seeds < 0) {
            throw new InvalidInputException("numbers of 1 or more are expected");
        }
        // Rejects invalid settings before anything is printed.
        buildSettings();
        return switch (mode) {
            case EVEN -> compareStrategies(out);
            case CHECK -> checkRules(out, err);
            case PLANTED -> checkMutations(out);
        };
    }

    private SubsetSettings buildSettings() {
        try {
            return new SubsetSettings(replicas, leastZones);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage());
        }
    }

    private FleetShape buildFleetShape() {
        return new FleetShape(nodes, servers, shards, zones, buildSettings(), "");
    }

    private int compareStrategies(PrintStream out) {
        List<FleetShape> shapes = regions == 1
                ? List.of(buildFleetShape())
                : IntStream.range(0, regions)
                        .mapToObj(region -> new FleetShape(
                                nodes / regions,
                                servers / regions,
                                shards,
                                Math.max(1, zones / regions),
                                buildSettings(),
                                "r" + region + "-"))
                        .toList();
        out.printf(
                "%d front nodes, %d index servers, %d shards, %d zones, %d regions, %d replicas of each shard in at least %d zones%n%n",
                nodes, servers, shards, zones, regions, replicas, leastZones);
        out.println(
                "| way to choose | nodes a server: least | mean | p99 | most | most over mean | connections a node | least zones of a shard "
                        + "| shards left empty | moved by a join | by a leave | by a replacement |");
        out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (SubsetFigures.Row row : SubsetFigures.measure(shapes)) {
            out.printf(
                    Locale.ROOT,
                    "| %s | %d | %.1f | %d | %d | %.2f | %.0f | %d | %d | %.1f | %.1f | %.1f |%n",
                    row.strategy(),
                    row.least(),
                    row.mean(),
                    row.p99(),
                    row.most(),
                    row.mostOverMean(),
                    row.connections(),
                    row.leastZones(),
                    row.emptyShards(),
                    row.movedByJoin(),
                    row.movedByLeave(),
                    row.movedByReplacement());
        }
        return 0;
    }

    private int checkRules(PrintStream out, PrintStream err) {
        int violations = 0;
        out.println("| seed | steps | checks of a shard | broken | hash |");
        out.println("|---|---|---|---|---|");
        for (int seed = 1; seed <= (seeds == 0 ? 100 : seeds); seed++) {
            SubsetRun.Outcome outcome = SubsetRun.play(buildFleetShape(), seed, changes, SubsetMutation.NONE);
            violations += outcome.violations();
            out.printf(
                    "| %d | %d | %d | %d | %s |%n",
                    seed, outcome.steps(), outcome.checks(), outcome.violations(), Long.toHexString(outcome.hash()));
            outcome.examples().forEach(example -> err.println("seed " + outcome.seed() + ": " + example));
        }
        return violations == 0 ? 0 : 1;
    }

    private int checkMutations(PrintStream out) {
        int uncaught = 0;
        int count = seeds == 0 ? 10 : seeds;
        out.println("| planted | caught on seeds | first seed | broken there | example |");
        out.println("|---|---|---|---|---|");
        for (SubsetMutation mutation : SubsetMutation.values()) {
            List<SubsetRun.Outcome> caught = new ArrayList<>();
            for (int seed = 1; seed <= count; seed++) {
                SubsetRun.Outcome outcome = SubsetRun.play(buildFleetShape(), seed, changes, mutation);
                if (outcome.violations() > 0) {
                    caught.add(outcome);
                }
            }
            boolean asExpected = mutation == SubsetMutation.NONE ? caught.isEmpty() : !caught.isEmpty();
            uncaught += asExpected ? 0 : 1;
            out.printf(
                    "| %s | %d of %d | %s | %s | %s |%n",
                    mutation.summary(),
                    caught.size(),
                    count,
                    caught.isEmpty() ? "-" : caught.get(0).seed(),
                    caught.isEmpty() ? "-" : caught.get(0).violations(),
                    caught.isEmpty() ? "-" : caught.get(0).examples().get(0));
        }
        return uncaught == 0 ? 0 : 1;
    }
}
