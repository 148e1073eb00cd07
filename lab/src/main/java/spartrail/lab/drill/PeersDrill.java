package spartrail.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import spartrail.lab.cluster.ClusterHarness;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.cluster.ClusterPlan;
import spartrail.lab.cluster.HistoryChecker;
import spartrail.lab.file.Document;
import spartrail.lab.rules.PeersRules;
import spartrail.peers.GossipTimings;
import spartrail.peers.SwimMembership;

/**
 * Runs seven to ten front node processes that track each other by gossip, under load, while some crash, stall or lose
 * contact. The same scenario then runs without gossip, and the share of requests served must be nearly the same.
 */
final class PeersDrill implements Drill {
    private static final int DEFAULT_NODES = 7;
    private static final String SEVEN_OF_TEN = "['n0','n1','n3','n4','n5','n7','n8']";
    /** Folder where drills keep logs, histories and records; null deletes them after the run. */
    private static final String OUTPUT_FOLDER = System.getenv("SPARTRAIL_DRILL_FOLDER");
    /** Largest permitted loss in the share of requests served whole, compared with the run without gossip. */
    private static final double SERVED_SHARE_TOLERANCE = 0.01;

    /** Checks that apply to one drill only, besides those that all drills make. */
    private interface Expectations {
        void checkResults(Findings findings, List<Line> lines, PeersRules rules, ClusterHarness.Outcome outcome);
    }

    private final int nodes;
    private final String name;
    private final String summary;
    private final double durationMs;
    private final String steps;
    private final Expectations expectations;

    private PeersDrill(String name, String summary, double durationMs, String steps, Expectations expectations) {
        this(DEFAULT_NODES, name, summary, durationMs, steps, expectations);
    }

    private PeersDrill(
            int nodes, String name, String summary, double durationMs, String steps, Expectations expectations) {
        this.nodes = nodes;
        this.name = name;
        this.summary = summary;
        this.durationMs = durationMs;
        this.steps = steps;
        this.expectations = expectations;
    }

    static List<Drill> all() {
        return List.of(
                crashDrill(),
                stallDrill(),
                partitionDrill(),
                oneWayLinksDrill(),
                restartDrill(),
                nameConflictsDrill(),
                floodDrill());
    }

    private static Drill crashDrill() {
        return new PeersDrill(
                "peers-crash",
                "two of seven nodes are killed, and a third as soon as one is suspected: all other nodes detect it",
                26_000,
                "{'name':'two','when':{'atMs':2000},'do':'kill','nodes':['n3','n5']},"
                        + "{'name':'third','when':{'seen':{'node':'any','of':'n3','is':'SUSPECT'}},'do':'kill','nodes':['n4']}",
                (findings, lines, rules, outcome) -> {
                    checkDetectionTimes(findings, rules, 4 * 3);
                    findings.checkEqual(
                            "running nodes that were reported as gone",
                            "{}",
                            rules.falseRemovals().toString());
                });
    }

    private static Drill stallDrill() {
        return new PeersDrill(
                "peers-stall",
                "a node is suspended for 30 s, and later another one gets 0.05 of a core for 20 s",
                75_000,
                "{'name':'stop','when':{'atMs':2000},'do':'stop','nodes':['n2'],'lastsMs':30000},"
                        + "{'name':'slow','when':{'atMs':40000},'do':'slow','nodes':['n6'],'share':0.05,'lastsMs':20000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "n2 after its stall: nodes it declared gone itself",
                            0L,
                            countOwnVerdicts(lines, "n2", "GONE"));
                    findings.checkAtLeast(
                            "n2 after its stall: reports of doubt about its own view", 1, countDoubts(lines, "n2"));
                    findings.checkEqual(
                            "n6 while slow: nodes it declared gone itself",
                            0L,
                            countOwnVerdictsAfter(lines, 40_000, "n6", "GONE"));
                    findings.note(
                            "n6 while slow: nodes it suspected itself",
                            String.valueOf(countOwnVerdictsAfter(lines, 40_000, "n6", "SUSPECT")));
                    findings.checkAtMost(
                            "n6 while slow: times another node reported it as gone",
                            6,
                            rules.falseRemovals().getOrDefault(6, 0));
                    findings.checkEqual(
                            "times another running node was reported as gone",
                            0,
                            rules.falseRemovals().entrySet().stream()
                                    .filter(entry -> entry.getKey() != 2 && entry.getKey() != 6)
                                    .mapToInt(entry -> entry.getValue())
                                    .sum());
                });
    }

    private static Drill partitionDrill() {
        return new PeersDrill(
                "peers-partition",
                "three nodes cut off from four, then all nodes, then three overlapping groups: views agree again",
                65_000,
                "{'name':'halves','when':{'atMs':2000},'do':'cut','nodes':['n0','n1','n2'],"
                        + "'others':['n3','n4','n5','n6'],'lastsMs':12000},"
                        + buildIsolationSteps(26_000, 8000)
                        + "{'name':'left','when':{'atMs':45000},'do':'cut','nodes':['n0','n1'],'others':['n4','n5','n6'],'lastsMs':6000},"
                        + "{'name':'right','when':{'atMs':45000},'do':'cut','nodes':['n2'],'others':['n6'],'lastsMs':6000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkAtLeast(
                            "nodes that reported the other side as gone (of 7)",
                            7,
                            countNodesReportingGone(lines, 2000, 15_000));
                    findings.checkEqual(
                            "nodes declared gone by isolated nodes",
                            0L,
                            countGoneVerdictsWithin(lines, 26_000 + 6000, 34_000));
                });
    }

    private static Drill oneWayLinksDrill() {
        return new PeersDrill(
                "peers-oneway",
                "links that carry one direction only: no node is reported as gone that an indirect probe can reach",
                40_000,
                "{'name':'one','when':{'atMs':2000},'do':'one-way','nodes':['n0'],'others':['n1'],'lastsMs':10000},"
                        + "{'name':'pair','when':{'atMs':2000},'do':'cut','nodes':['n3'],'others':['n4'],'lastsMs':10000},"
                        + "{'name':'mute','when':{'atMs':16000},'do':'one-way','nodes':['n6'],'lastsMs':10000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "times one of n0 to n5 was reported as gone",
                            0,
                            rules.falseRemovals().entrySet().stream()
                                    .filter(entry -> entry.getKey() != 6)
                                    .mapToInt(entry -> entry.getValue())
                                    .sum());
                    findings.checkEqual(
                            "n6 while it cannot send: nodes it declared gone itself",
                            0L,
                            countOwnVerdicts(lines, "n6", "GONE"));
                    findings.checkAtLeast(
                            "n6 while it cannot send: times reported as gone",
                            6,
                            rules.falseRemovals().getOrDefault(6, 0));
                });
    }

    private static Drill restartDrill() {
        return new PeersDrill(
                10,
                "peers-restart",
                "seven of ten nodes are killed at once and restart within a second; one leaves; one restarts twice",
                55_000,
                "{'name':'seven','when':{'atMs':2000},'do':'kill','nodes':" + SEVEN_OF_TEN + "},"
                        + "{'name':'again','when':{'step':'seven','afterMs':200},'do':'start','nodes':" + SEVEN_OF_TEN
                        + "},"
                        + "{'name':'leaves','when':{'atMs':18000},'do':'terminate','nodes':['n2']},"
                        + "{'name':'flap','when':{'atMs':26000},'do':'kill','nodes':['n6']},"
                        + "{'name':'back','when':{'step':'flap','afterMs':300},'do':'start','nodes':['n6']},"
                        + "{'name':'flap2','when':{'atMs':34000},'do':'kill','nodes':['n6']},"
                        + "{'name':'back2','when':{'step':'flap2','afterMs':300},'do':'start','nodes':['n6']}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "running incarnations that were reported as gone",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtMost(
                            "time until all nine other nodes saw n2 as left, in ms",
                            2000,
                            measureLeaveMs(lines, "n2", 9));
                });
    }

    private static Drill nameConflictsDrill() {
        return new PeersDrill(
                "peers-names",
                "two machines swap names, two processes share a name, clocks are set back or run at a wrong pace",
                75_000,
                "{'name':'swapped','when':{'atMs':2000},'do':'kill','nodes':['n1','n4']},"
                        + "{'name':'swap','when':{'step':'swapped','afterMs':300},'do':'start','nodes':['n1','n4'],'as':['n4','n1']},"
                        + "{'name':'n2','when':{'atMs':12000},'do':'kill','nodes':['n2']},"
                        + "{'name':'second','when':{'step':'n2','afterMs':300},'do':'start','nodes':['n2'],'as':['n3']},"
                        + "{'name':'clocks','when':{'atMs':24000},'do':'kill','nodes':['n5','n6']},"
                        + "{'name':'back','when':{'step':'clocks','afterMs':300},'do':'start','nodes':['n5'],"
                        + "'clock':{'aheadMs':-3600000,'pace':0.99}},"
                        + "{'name':'ahead','when':{'step':'clocks','afterMs':300},'do':'start','nodes':['n6'],"
                        + "'clock':{'aheadMs':60000,'pace':1.02}},"
                        + "{'name':'alone','when':{'atMs':36000},'do':'kill','nodes':['n2']}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "running incarnations that were reported as gone",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtLeast(
                            "times the earlier process of a name stopped taking part",
                            1,
                            findNameConflictSpans(lines, 3).size());
                    findings.checkEqual(
                            "verdicts of that process while it took no part",
                            0L,
                            countVerdictsDuringNameConflict(lines, 3));
                    findings.checkAtLeast(
                            "nodes that saw the earlier process alive again (of 5)",
                            5,
                            lines.stream()
                                    .filter(line -> line.ns() - findStartNs(lines) > 36_000e6
                                            && line.event().equals("standing")
                                            && line.tree().get("of").asText().equals("n3")
                                            && line.tree().get("is").asText().equals("ALIVE"))
                                    .map(Line::node)
                                    .distinct()
                                    .count());
                });
    }

    private static Drill floodDrill() {
        return new PeersDrill(
                "peers-flood",
                "4,000 datagrams a second from an outside sender, and links that lose, corrupt, duplicate and reorder",
                35_000,
                "{'name':'flood','when':{'atMs':2000},'do':'flood','nodes':['n0','n1','n2','n3','n4','n5','n6'],"
                        + "'perS':4000,'manner':'all','lastsMs':15000},"
                        + "{'name':'links','when':{'atMs':2000},'do':'link','nodes':['n0','n1','n2','n3','n4','n5','n6'],"
                        + "'others':['n0','n1','n2','n3','n4','n5','n6'],'jitterMs':150,'twice':0.3,'flipped':0.05,'loss':0.02,'lastsMs':15000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "running nodes that were reported as gone",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtMost(
                            "messages per second and node, most of any node",
                            SwimMembership.maxMessagesPerSecond(GossipTimings.DEFAULT),
                            outcome.nodes().stream()
                                            .mapToDouble(node ->
                                                    node.get("sentMessages").asDouble())
                                            .max()
                                            .orElse(0)
                                    / 35);
                });
    }

    private static String buildIsolationSteps(double atMs, double durationMs) {
        StringBuilder steps = new StringBuilder();
        for (int node = 0; node < DEFAULT_NODES; node++) {
            steps.append("{'name':'alone")
                    .append(node)
                    .append("','when':{'atMs':")
                    .append(atMs)
                    .append("},'do':'one-way','nodes':['n")
                    .append(node)
                    .append("'],'lastsMs':")
                    .append(durationMs)
                    .append("},");
        }
        return steps.toString();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public String subsystem() {
        return "peers";
    }

    private ClusterPlan buildPlan(long seed) {
        String text = ("{'seed':" + seed + ",'nodes':" + nodes + ",'seeds':2,'lastsMs':" + durationMs + ",'peers':{},"
                        + "'fleet':{'layout':{'shards':8,'cells':4,'reach':2},'kinds':{'std':{'cores':2,'workMs':2,'warmMs':1000,"
                        + "'tipMultiple':1000}},'servers':[{'kind':'std','count':8}]},"
                        + "'settings':{'opTypes':[{'name':'orders','budgetMs':2000,'timeoutMs':4000,'floor':0.9}]},"
                        + "'load':{'lagBoundMs':60000,'phases':[{'lastsMs':" + durationMs
                        + ",'rate':{'shape':'steady','perS':140}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':3},'clientMs':4000}]},"
                        + "'steps':[" + steps + "]}")
                .replace('\'', '"');
        return ClusterPlan.of(Document.parse(name, text.getBytes(StandardCharsets.UTF_8), "nodes"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ClusterPlan plan = buildPlan(seed);
        ObjectNode reportWithoutPeers = runCluster(plan.withoutPeers(), outcome -> {});
        ObjectNode reportWithPeers = runCluster(plan, outcome -> {
            List<Line> lines = outcome.history().inOrder();
            PeersRules rules = new HistoryChecker(nodes).check(lines, true);
            findings.checkEqual(
                    "steps that were not executed",
                    "[]",
                    outcome.unexecutedSteps().toString());
            findings.checkAtLeast("changes of views that were checked", 20, rules.judgedChanges());
            findings.checkEqual(
                    "breaches of the rules of peers", "[]", rules.breaches().toString());
            expectations.checkResults(findings, lines, rules, outcome);
            findings.note(
                    "bytes per second sent by a node, least and most",
                    formatBytesPerSecond(outcome, Comparator.naturalOrder()) + " and "
                            + formatBytesPerSecond(outcome, Comparator.reverseOrder()));
            findings.note("memory of a node in MB, least and most", formatMemoryRange(outcome));
            outcome.rules()
                    .verdicts()
                    .forEach(verdict ->
                            findings.checkEqual("breaches of rule: " + verdict.rule().text, 0L, verdict.broken()));
        });
        double servedWithoutPeers = servedShare(reportWithoutPeers);
        findings.note(
                "share served whole in the run without gossip", String.format(Locale.ROOT, "%.4f", servedWithoutPeers));
        findings.checkAtLeast(
                "share served whole with gossip",
                servedWithoutPeers - SERVED_SHARE_TOLERANCE,
                servedShare(reportWithPeers));
    }

    private static String formatBytesPerSecond(ClusterHarness.Outcome outcome, Comparator<Long> order) {
        return outcome.nodes().stream()
                .map(node -> Math.round(node.get("sentBytes").asDouble() / outcome.elapsedMs() * 1000))
                .min(order)
                .map(String::valueOf)
                .orElse("-");
    }

    private static String formatMemoryRange(ClusterHarness.Outcome outcome) {
        var memoryMb = outcome.nodes().stream()
                .mapToInt(node -> node.get("memoryMb").asInt())
                .filter(mb -> mb > 0)
                .summaryStatistics();
        return memoryMb.getMin() + " and " + memoryMb.getMax();
    }

    interface OutcomeCheck {
        void accept(ClusterHarness.Outcome outcome);
    }

    static ObjectNode runCluster(ClusterPlan plan, OutcomeCheck check) throws IOException, InterruptedException {
        Path folder = OUTPUT_FOLDER == null
                ? Files.createTempDirectory("spartrail-nodes")
                : Files.createTempDirectory(Path.of(OUTPUT_FOLDER), "nodes");
        System.Logger log = System.getLogger("spartrail.lab.drill");
        try (ClusterHarness cluster =
                new ClusterHarness(plan, folder, line -> log.log(System.Logger.Level.DEBUG, line))) {
            ClusterHarness.Outcome outcome = cluster.play();
            if (OUTPUT_FOLDER != null) {
                Files.writeString(
                        folder.resolve("history.jsonl"), outcome.history().toJsonLines());
            }
            check.accept(outcome);
            return outcome.load();
        } finally {
            if (OUTPUT_FOLDER == null) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder())
                            .forEach(file -> file.toFile().delete());
                }
            }
        }
    }

    static double servedShare(JsonNode report) {
        double whole = 0;
        double total = 0;
        for (var kinds = report.get("kinds").fields(); kinds.hasNext(); ) {
            var kind = kinds.next();
            total += kind.getValue().asDouble();
            whole += kind.getKey().equals("WHOLE") ? kind.getValue().asDouble() : 0;
        }
        return whole / Math.max(1, total);
    }

    // ---- Evaluating histories ----

    private static void checkDetectionTimes(Findings findings, PeersRules rules, int minCount) {
        List<Double> timesMs = new ArrayList<>(rules.detectionTimesMs());
        Collections.sort(timesMs);
        findings.checkAtLeast("detections of a crash by another node", minCount, timesMs.size());
        if (!timesMs.isEmpty()) {
            findings.note(
                    "time until a crash was detected, median in ms",
                    String.valueOf(Math.round(timesMs.get(timesMs.size() / 2))));
            findings.checkAtMost(
                    "time until a crash was detected, longest in ms",
                    GossipTimings.DEFAULT.detectionBoundMs(DEFAULT_NODES),
                    timesMs.get(timesMs.size() - 1));
        }
    }

    /** Finds the time of the {@code begins} line, from which step times are counted. */
    private static double findStartNs(List<Line> lines) {
        return lines.stream()
                .filter(line -> line.node() < 0 && line.event().equals("begins"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
    }

    /** Whether a node reports a state that it has determined itself, not one that it heard by gossip. */
    private static boolean isOwnVerdict(Line line, String state) {
        return line.event().equals("standing")
                && state.equals(line.tree().get("is").asText())
                && line.tree().get("by").asText().equals(line.tree().get("node").asText());
    }

    private static long countOwnVerdicts(List<Line> lines, String node, String state) {
        return lines.stream()
                .filter(line -> isOwnVerdict(line, state)
                        && line.tree().get("node").asText().equals(node))
                .count();
    }

    private static long countOwnVerdictsAfter(List<Line> lines, double fromMs, String node, String state) {
        double startNs = findStartNs(lines);
        return lines.stream()
                .filter(line -> isOwnVerdict(line, state)
                        && line.tree().get("node").asText().equals(node)
                        && line.ns() - startNs > 1e6 * fromMs)
                .count();
    }

    private static long countGoneVerdictsWithin(List<Line> lines, double fromMs, double toMs) {
        double startNs = findStartNs(lines);
        return lines.stream()
                .filter(line -> isOwnVerdict(line, "GONE")
                        && line.ns() - startNs > 1e6 * fromMs
                        && line.ns() - startNs < 1e6 * toMs)
                .count();
    }

    private static long countDoubts(List<Line> lines, String node) {
        return lines.stream()
                .filter(line -> line.event().equals("view")
                        && line.tree().get("node").asText().equals(node)
                        && !line.tree().get("doubt").asText().isEmpty())
                .count();
    }

    /** Finds the time spans in which the process on this machine reported that another process has its name. */
    private static List<double[]> findNameConflictSpans(List<Line> lines, int machine) {
        List<double[]> spans = new ArrayList<>();
        double sinceNs = Double.NaN;
        for (Line line : lines) {
            if (line.node() != machine || !line.event().equals("view")) {
                continue;
            }
            boolean hasConflict = line.tree().get("doubt").asText().startsWith("another process has the name");
            if (hasConflict && Double.isNaN(sinceNs)) {
                sinceNs = line.ns();
            } else if (!hasConflict && !Double.isNaN(sinceNs)) {
                spans.add(new double[] {sinceNs, line.ns()});
                sinceNs = Double.NaN;
            }
        }
        return spans;
    }

    private static long countVerdictsDuringNameConflict(List<Line> lines, int machine) {
        List<double[]> spans = findNameConflictSpans(lines, machine);
        return lines.stream()
                .filter(line -> line.node() == machine
                        && (isOwnVerdict(line, "GONE") || isOwnVerdict(line, "SUSPECT"))
                        && spans.stream().anyMatch(span -> line.ns() > span[0] && line.ns() < span[1]))
                .count();
    }

    private static long countNodesReportingGone(List<Line> lines, double fromMs, double toMs) {
        double startNs = findStartNs(lines);
        return lines.stream()
                .filter(line -> line.event().equals("standing")
                        && "GONE".equals(line.tree().get("is").asText())
                        && line.ns() - startNs > 1e6 * fromMs
                        && line.ns() - startNs < 1e6 * toMs)
                .map(Line::node)
                .distinct()
                .count();
    }

    /**
     * Measures the time from the request to terminate a node until this many other nodes saw it as left; infinite where
     * fewer did.
     */
    private static double measureLeaveMs(List<Line> lines, String node, int others) {
        long terminatedNs = lines.stream()
                .filter(line -> line.node() < 0 && line.event().equals("asked to end"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
        long[] knownAtNs = lines.stream()
                .filter(line -> line.event().equals("standing")
                        && "LEFT".equals(line.tree().get("is").asText())
                        && line.tree().get("of").asText().equals(node)
                        && !line.tree().get("node").asText().equals(node))
                .mapToLong(Line::ns)
                .sorted()
                .toArray();
        return knownAtNs.length < others ? Double.POSITIVE_INFINITY : (knownAtNs[others - 1] - terminatedNs) / 1e6;
    }
}
