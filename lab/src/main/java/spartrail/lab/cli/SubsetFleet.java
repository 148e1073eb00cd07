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

/** Hollow fleets that use subsets: how even they are, whether they keep their rules, and which mutations are caught. */
final class SubsetFleet extends Command {
    enum Mode {
        EVEN,
        CHECK,
        PLANTED
    }

    @Option(name = "--nodes", metaVar = "N", usage = "front nodes (default 100)")
    private int nodes = 100;

    @Option(name = "--servers", metaVar = "N", usage = "index servers (default 2000)")
    private int servers = 2000;

    @Option(name = "--shards", metaVar = "N", usage = "shards, a server holds one (default 50)")
    private int shards = 50;

    @Option(name = "--zones", metaVar = "N", usage = "zones (default 8, check and planted 4)")
    private int zones;

    @Option(
            name = "--replicas",
            metaVar = "N",
            usage = "replicas of each shard in a subset (default 8, check and planted 4)")
    private int replicas;

    @Option(
            name = "--least-zones",
            metaVar = "N",
            usage = "zones that they lie in at least (default 2, check and planted 3)")
    private int leastZones;

    @Option(
            name = "--regions",
            metaVar = "N",
            usage = "even: nodes and servers in so many regions, each with its own list (default 1)")
    private int regions = 1;

    @Option(name = "--seeds", metaVar = "N", usage = "check, planted: seeds from 1 on (default 100, planted 10)")
    private int seeds;

    @Option(
            name = "--changes",
            metaVar = "N",
            usage = "check, planted: single changes, three times so many (default 10)")
    private int changes = 10;

    private final Mode mode;

    SubsetFleet(Mode mode) {
        this.mode = mode;
        // Checks are to meet shards whose zones bind.
        boolean checks = mode != Mode.EVEN;
        zones = checks ? 4 : 8;
        replicas = checks ? 4 : 8;
        leastZones = checks ? 3 : 2;
    }

    @Override
    String summary() {
        return switch (mode) {
            case EVEN -> "hollow fleets: how many nodes share a server, and what a change moves, beside other ways to choose";
            case CHECK -> "hollow fleets through losses and lists that part: what subsets promise, checked after each change";
            case PLANTED -> "the same with faults planted: each has to be caught";
        };
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (nodes < 1 || servers < 1 || shards < 1 || zones < 1 || regions < 1 || changes < 1 || seeds < 0) {
            throw new InvalidInputException("numbers of 1 or more are expected");
        }
        // Before anything is printed: settings that no subset can keep are refused.
        settings();
        return switch (mode) {
            case EVEN -> compareStrategies(out);
            case CHECK -> checkRules(out, err);
            case PLANTED -> checkMutations(out);
        };
    }

    private SubsetSettings settings() {
        try {
            return new SubsetSettings(replicas, leastZones);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage());
        }
    }

    private FleetShape fleetShape() {
        return new FleetShape(nodes, servers, shards, zones, settings(), "");
    }

    private int compareStrategies(PrintStream out) {
        List<FleetShape> shapes = regions == 1
                ? List.of(fleetShape())
                : IntStream.range(0, regions)
                        .mapToObj(region -> new FleetShape(
                                nodes / regions,
                                servers / regions,
                                shards,
                                Math.max(1, zones / regions),
                                settings(),
                                "r" + region + "-"))
                        .toList();
        out.printf(
                "%d front nodes, %d index servers, %d shards, %d zones, %d regions, %d replicas of each shard, %d zones at least%n%n",
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
            SubsetRun.Outcome outcome = SubsetRun.play(fleetShape(), seed, changes, SubsetMutation.NONE);
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
                SubsetRun.Outcome outcome = SubsetRun.play(fleetShape(), seed, changes, mutation);
                if (outcome.violations() > 0) {
                    caught.add(outcome);
                }
            }
            boolean expected = mutation == SubsetMutation.NONE ? caught.isEmpty() : !caught.isEmpty();
            uncaught += expected ? 0 : 1;
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
