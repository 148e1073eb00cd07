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
 * Seven to ten front nodes, processes of their own, that know who of them is there, under load; some break, stand still or lose
 * contact. The same day is played once more by nodes that do not talk, and service must be the same.
 */
final class PeersDrill implements Drill {
    private static final int USUAL_NODES = 7;
    private static final String SEVEN = "['n0','n1','n3','n4','n5','n7','n8']";
    /** A folder where drills leave logs, histories and records; null for none. */
    private static final String KEEP = System.getenv("SPARTRAIL_DRILL_FOLDER");
    /** Service may differ by so much from the day without talk. */
    private static final double SERVICE = 0.01;

    /** What this drill wants of what was seen, beside what all want. */
    private interface Wants {
        void judge(Findings findings, List<Line> lines, PeersRules rules, ClusterHarness.Outcome outcome);
    }

    private final int nodes;
    private final String name;
    private final String summary;
    private final double durationMs;
    private final String steps;
    private final Wants wants;

    private PeersDrill(String name, String summary, double durationMs, String steps, Wants wants) {
        this(USUAL_NODES, name, summary, durationMs, steps, wants);
    }

    private PeersDrill(int nodes, String name, String summary, double durationMs, String steps, Wants wants) {
        this.nodes = nodes;
        this.name = name;
        this.summary = summary;
        this.durationMs = durationMs;
        this.steps = steps;
        this.wants = wants;
    }

    static List<Drill> all() {
        return List.of(crash(), stall(), partition(), oneWayLinks(), restart(), nameConflicts(), flood());
    }

    private static Drill crash() {
        return new PeersDrill(
                "peers-crash",
                "two of seven nodes are killed, a third one the moment it is suspected that one is: all know",
                26_000,
                "{'name':'two','when':{'atMs':2000},'do':'kill','nodes':['n3','n5']},"
                        + "{'name':'third','when':{'seen':{'node':'any','of':'n3','is':'SUSPECT'}},'do':'kill','nodes':['n4']}",
                (findings, lines, rules, outcome) -> {
                    known(findings, rules, 4 * 3);
                    findings.checkEqual(
                            "ends told of nodes that ran",
                            "{}",
                            rules.falseRemovals().toString());
                });
    }

    private static Drill stall() {
        return new PeersDrill(
                "peers-stall",
                "a node stands still for 30 s, later another one gets 0.05 of a core for 20 s",
                75_000,
                "{'name':'stop','when':{'atMs':2000},'do':'stop','nodes':['n2'],'lastsMs':30000},"
                        + "{'name':'slow','when':{'atMs':40000},'do':'slow','nodes':['n6'],'share':0.05,'lastsMs':20000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual("n2, waking: ends by its own verdict", 0L, verdicts(lines, "n2", "GONE"));
                    findings.checkAtLeast("n2, waking: times it said that it doubts itself", 1, doubts(lines, "n2"));
                    findings.checkEqual(
                            "n6, while slow: ends by its own verdict", 0L, since(lines, 40_000, "n6", "GONE"));
                    findings.note(
                            "n6, while slow: suspicions by its own verdict",
                            String.valueOf(since(lines, 40_000, "n6", "SUSPECT")));
                    findings.checkAtMost(
                            "n6, slow: times that one of six others held it for gone in 20 s",
                            6,
                            rules.falseRemovals().getOrDefault(6, 0));
                    findings.checkEqual(
                            "ends told of nodes neither stopped nor slow",
                            0,
                            rules.falseRemovals().entrySet().stream()
                                    .filter(each -> each.getKey() != 2 && each.getKey() != 6)
                                    .mapToInt(each -> each.getValue())
                                    .sum());
                });
    }

    private static Drill partition() {
        return new PeersDrill(
                "peers-partition",
                "three against four, then each alone, then three groups that overlap: views heal",
                65_000,
                "{'name':'halves','when':{'atMs':2000},'do':'cut','nodes':['n0','n1','n2'],"
                        + "'others':['n3','n4','n5','n6'],'lastsMs':12000},"
                        + alone(26_000, 8000)
                        + "{'name':'left','when':{'atMs':45000},'do':'cut','nodes':['n0','n1'],'others':['n4','n5','n6'],'lastsMs':6000},"
                        + "{'name':'right','when':{'atMs':45000},'do':'cut','nodes':['n2'],'others':['n6'],'lastsMs':6000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkAtLeast(
                            "nodes that held the other half for gone while cut (of 7)",
                            7,
                            holders(lines, 2000, 15_000));
                    findings.checkEqual(
                            "ends by verdicts of nodes that were all alone",
                            0L,
                            verdictsWithin(lines, 26_000 + 6000, 34_000));
                });
    }

    private static Drill oneWayLinks() {
        return new PeersDrill(
                "peers-oneway",
                "links that carry one way only: nobody is held for gone who can be reached by a helper",
                40_000,
                "{'name':'one','when':{'atMs':2000},'do':'one-way','nodes':['n0'],'others':['n1'],'lastsMs':10000},"
                        + "{'name':'pair','when':{'atMs':2000},'do':'cut','nodes':['n3'],'others':['n4'],'lastsMs':10000},"
                        + "{'name':'mute','when':{'atMs':16000},'do':'one-way','nodes':['n6'],'lastsMs':10000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "ends told of n0 to n5",
                            0,
                            rules.falseRemovals().entrySet().stream()
                                    .filter(each -> each.getKey() != 6)
                                    .mapToInt(each -> each.getValue())
                                    .sum());
                    findings.checkEqual("n6, mute: ends by its own verdict", 0L, verdicts(lines, "n6", "GONE"));
                    findings.checkAtLeast(
                            "n6, mute: held for gone by so many others",
                            6,
                            rules.falseRemovals().getOrDefault(6, 0));
                });
    }

    private static Drill restart() {
        return new PeersDrill(
                10,
                "peers-restart",
                "seven of ten are killed at once and start again within a second; one leaves; one flaps twice",
                55_000,
                "{'name':'seven','when':{'atMs':2000},'do':'kill','nodes':" + SEVEN + "},"
                        + "{'name':'again','when':{'step':'seven','afterMs':200},'do':'start','nodes':" + SEVEN
                        + "},"
                        + "{'name':'leaves','when':{'atMs':18000},'do':'terminate','nodes':['n2']},"
                        + "{'name':'flap','when':{'atMs':26000},'do':'kill','nodes':['n6']},"
                        + "{'name':'back','when':{'step':'flap','afterMs':300},'do':'start','nodes':['n6']},"
                        + "{'name':'flap2','when':{'atMs':34000},'do':'kill','nodes':['n6']},"
                        + "{'name':'back2','when':{'step':'flap2','afterMs':300},'do':'start','nodes':['n6']}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "ends told of lives that ran",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtMost(
                            "time until all nine others knew that n2 leaves, in ms", 2000, leftMs(lines, "n2", 9));
                });
    }

    private static Drill nameConflicts() {
        return new PeersDrill(
                "peers-names",
                "two machines swap names, two processes bear one name, clocks are set back and run wrong",
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
                            "ends told of lives that ran",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtLeast(
                            "times that the earlier of two processes said that it takes no part",
                            1,
                            steppedBack(lines, 3).size());
                    findings.checkEqual("its own verdicts while it took no part", 0L, steppedBackVerdicts(lines, 3));
                    findings.checkAtLeast(
                            "nodes that held the earlier one for there again once the later one was killed (of 5)",
                            5,
                            lines.stream()
                                    .filter(line -> line.ns() - startNs(lines) > 36_000e6
                                            && line.event().equals("standing")
                                            && line.tree().get("of").asText().equals("n3")
                                            && line.tree().get("is").asText().equals("ALIVE"))
                                    .map(Line::node)
                                    .distinct()
                                    .count());
                });
    }

    private static Drill flood() {
        return new PeersDrill(
                "peers-flood",
                "4,000 datagrams a second from a stranger, and links that cut, flip, double and mix up",
                35_000,
                "{'name':'flood','when':{'atMs':2000},'do':'flood','nodes':['n0','n1','n2','n3','n4','n5','n6'],"
                        + "'perS':4000,'manner':'all','lastsMs':15000},"
                        + "{'name':'links','when':{'atMs':2000},'do':'link','nodes':['n0','n1','n2','n3','n4','n5','n6'],"
                        + "'others':['n0','n1','n2','n3','n4','n5','n6'],'jitterMs':150,'twice':0.3,'flipped':0.05,'loss':0.02,'lastsMs':15000}",
                (findings, lines, rules, outcome) -> {
                    findings.checkEqual(
                            "ends told of nodes that ran",
                            "{}",
                            rules.falseRemovals().toString());
                    findings.checkAtMost(
                            "messages a second a node, on average while flooded",
                            SwimMembership.maxMessagesPerSecond(GossipTimings.DEFAULT),
                            outcome.nodes().stream()
                                            .mapToDouble(node ->
                                                    node.get("sentMessages").asDouble())
                                            .max()
                                            .orElse(0)
                                    / 35);
                });
    }

    private static String alone(double atMs, double durationMs) {
        StringBuilder steps = new StringBuilder();
        for (int node = 0; node < USUAL_NODES; node++) {
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

    private ClusterPlan plan(long seed) {
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
        ClusterPlan plan = plan(seed);
        ObjectNode silent = played(plan.withoutPeers(), outcome -> {});
        ObjectNode talking = played(plan, outcome -> {
            List<Line> lines = outcome.history().inOrder();
            PeersRules rules = new HistoryChecker(nodes).check(lines, true);
            findings.checkEqual(
                    "steps that were not taken", "[]", outcome.unexecutedSteps().toString());
            findings.checkAtLeast("changes of views that were judged", 20, rules.judgedChanges());
            findings.checkEqual("rules of peers broken", "[]", rules.breaches().toString());
            wants.judge(findings, lines, rules, outcome);
            findings.note(
                    "bytes a second that a node sent, least and most",
                    bytes(outcome, Comparator.naturalOrder()) + " and " + bytes(outcome, Comparator.reverseOrder()));
            findings.note("memory of a node, least and most, in MB", memory(outcome));
            outcome.rules()
                    .verdicts()
                    .forEach(verdict -> findings.checkEqual("broken: " + verdict.rule().text, 0L, verdict.broken()));
        });
        double without = served(silent);
        findings.note("served whole of the day without talk, share", String.format(Locale.ROOT, "%.4f", without));
        findings.checkAtLeast("served whole, share", without - SERVICE, served(talking));
    }

    private static String bytes(ClusterHarness.Outcome outcome, Comparator<Long> order) {
        return outcome.nodes().stream()
                .map(node -> Math.round(node.get("sentBytes").asDouble() / outcome.elapsedMs() * 1000))
                .min(order)
                .map(String::valueOf)
                .orElse("-");
    }

    private static String memory(ClusterHarness.Outcome outcome) {
        var held = outcome.nodes().stream()
                .mapToInt(node -> node.get("memoryMb").asInt())
                .filter(mb -> mb > 0)
                .summaryStatistics();
        return held.getMin() + " and " + held.getMax();
    }

    interface Entry {
        void of(ClusterHarness.Outcome outcome);
    }

    static ObjectNode played(ClusterPlan plan, Entry seen) throws IOException, InterruptedException {
        Path folder = KEEP == null
                ? Files.createTempDirectory("spartrail-nodes")
                : Files.createTempDirectory(Path.of(KEEP), "nodes");
        System.Logger log = System.getLogger("spartrail.lab.drill");
        try (ClusterHarness cluster =
                new ClusterHarness(plan, folder, line -> log.log(System.Logger.Level.DEBUG, line))) {
            ClusterHarness.Outcome outcome = cluster.play();
            if (KEEP != null) {
                Files.writeString(
                        folder.resolve("history.jsonl"), outcome.history().toJsonLines());
            }
            seen.of(outcome);
            return outcome.load();
        } finally {
            if (KEEP == null) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder())
                            .forEach(file -> file.toFile().delete());
                }
            }
        }
    }

    static double served(JsonNode report) {
        double whole = 0;
        double all = 0;
        for (var kinds = report.get("kinds").fields(); kinds.hasNext(); ) {
            var kind = kinds.next();
            all += kind.getValue().asDouble();
            whole += kind.getKey().equals("WHOLE") ? kind.getValue().asDouble() : 0;
        }
        return whole / Math.max(1, all);
    }

    // ---- What histories tell ----

    private static void known(Findings findings, PeersRules rules, int least) {
        List<Double> known = new ArrayList<>(rules.detectionTimesMs());
        Collections.sort(known);
        findings.checkAtLeast("times that a crash came to be known", least, known.size());
        if (!known.isEmpty()) {
            findings.note(
                    "time until it was known, median in ms", String.valueOf(Math.round(known.get(known.size() / 2))));
            findings.checkAtMost(
                    "time until it was known, longest in ms",
                    GossipTimings.DEFAULT.detectionBoundMs(USUAL_NODES),
                    known.get(known.size() - 1));
        }
    }

    /** Lines count from the first step's time on. */
    private static double startNs(List<Line> lines) {
        return lines.stream()
                .filter(line -> line.node() < 0 && line.event().equals("begins"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
    }

    private static boolean own(Line line, String is) {
        return line.event().equals("standing")
                && is.equals(line.tree().get("is").asText())
                && line.tree().get("by").asText().equals(line.tree().get("node").asText());
    }

    private static long verdicts(List<Line> lines, String node, String is) {
        return lines.stream()
                .filter(line ->
                        own(line, is) && line.tree().get("node").asText().equals(node))
                .count();
    }

    private static long since(List<Line> lines, double fromMs, String node, String is) {
        double startNs = startNs(lines);
        return lines.stream()
                .filter(line -> own(line, is)
                        && line.tree().get("node").asText().equals(node)
                        && line.ns() - startNs > 1e6 * fromMs)
                .count();
    }

    private static long verdictsWithin(List<Line> lines, double fromMs, double toMs) {
        double startNs = startNs(lines);
        return lines.stream()
                .filter(line ->
                        own(line, "GONE") && line.ns() - startNs > 1e6 * fromMs && line.ns() - startNs < 1e6 * toMs)
                .count();
    }

    private static long doubts(List<Line> lines, String node) {
        return lines.stream()
                .filter(line -> line.event().equals("view")
                        && line.tree().get("node").asText().equals(node)
                        && !line.tree().get("doubt").asText().isEmpty())
                .count();
    }

    /** From when to when the process on this machine said that another one has its name. */
    private static List<double[]> steppedBack(List<Line> lines, int machine) {
        List<double[]> spans = new ArrayList<>();
        double since = Double.NaN;
        for (Line line : lines) {
            if (line.node() != machine || !line.event().equals("view")) {
                continue;
            }
            boolean back = line.tree().get("doubt").asText().startsWith("another process has the name");
            if (back && Double.isNaN(since)) {
                since = line.ns();
            } else if (!back && !Double.isNaN(since)) {
                spans.add(new double[] {since, line.ns()});
                since = Double.NaN;
            }
        }
        return spans;
    }

    private static long steppedBackVerdicts(List<Line> lines, int machine) {
        List<double[]> spans = steppedBack(lines, machine);
        return lines.stream()
                .filter(line -> line.node() == machine
                        && (own(line, "GONE") || own(line, "SUSPECT"))
                        && spans.stream().anyMatch(span -> line.ns() > span[0] && line.ns() < span[1]))
                .count();
    }

    private static long holders(List<Line> lines, double fromMs, double toMs) {
        double startNs = startNs(lines);
        return lines.stream()
                .filter(line -> line.event().equals("standing")
                        && "GONE".equals(line.tree().get("is").asText())
                        && line.ns() - startNs > 1e6 * fromMs
                        && line.ns() - startNs < 1e6 * toMs)
                .map(Line::node)
                .distinct()
                .count();
    }

    /** From the order to end until the last of so many nodes knew it; endless where fewer did. */
    private static double leftMs(List<Line> lines, String node, int others) {
        long askedNs = lines.stream()
                .filter(line -> line.node() < 0 && line.event().equals("asked to end"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
        long[] known = lines.stream()
                .filter(line -> line.event().equals("standing")
                        && "LEFT".equals(line.tree().get("is").asText())
                        && line.tree().get("of").asText().equals(node)
                        && !line.tree().get("node").asText().equals(node))
                .mapToLong(Line::ns)
                .sorted()
                .toArray();
        return known.length < others ? Double.POSITIVE_INFINITY : (known[others - 1] - askedNs) / 1e6;
    }
}
