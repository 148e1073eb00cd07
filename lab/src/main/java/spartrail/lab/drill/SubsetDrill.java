package spartrail.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import spartrail.lab.cluster.ClusterPlan;
import spartrail.lab.file.Document;

/**
 * Runs eight front nodes, each with its own subset of servers, while groups of servers are killed and restart cold,
 * others drain, and some nodes receive their endpoint lists late. The same scenario then runs without subsets, and the
 * share of requests served must be nearly the same.
 */
final class SubsetDrill implements Drill {
    private static final int NODES = 8;
    private static final int SERVERS = 48;
    private static final int REPLICAS = 6;
    private static final double DURATION_MS = 24_000;
    /** Largest permitted loss in the share of requests served whole, compared with the run without subsets. */
    private static final double SERVED_SHARE_TOLERANCE = 0.01;

    @Override
    public String name() {
        return "subset-change";
    }

    @Override
    public String summary() {
        return "eight nodes with subsets serve as well as without, while servers crash or drain and lists are late";
    }

    @Override
    public String subsystem() {
        return "subset";
    }

    private static String serverNames(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(number -> "'s-" + number + "'")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static String buildScript() {
        return Stream.of(
                        "{'atMs':2000,'do':'kill','servers':" + serverNames(0, 10) + "}",
                        "{'atMs':2500,'do':'roll-stale','nodes':[1,5],'lastsMs':2500}",
                        "{'atMs':7000,'do':'start','servers':" + serverNames(0, 10) + "}",
                        "{'atMs':10000,'do':'drain','servers':" + serverNames(20, 28) + "}",
                        "{'atMs':12000,'do':'roll-silent','nodes':[2,3],'lastsMs':1500}",
                        "{'atMs':13000,'do':'kill','servers':" + serverNames(30, 36) + "}",
                        "{'atMs':14000,'do':'restart','servers':" + serverNames(20, 28) + "}",
                        "{'atMs':17000,'do':'start','servers':" + serverNames(30, 36) + "}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static ClusterPlan buildPlan(long seed, boolean hasSubsets) {
        String subset = hasSubsets ? ",'subset':{'replicasPerShard':" + REPLICAS + ",'leastZones':2}" : "";
        String text = ("{'seed':" + seed + ",'nodes':" + NODES + ",'seeds':2,'lastsMs':" + DURATION_MS
                        + ",'fleet':{'layout':{'shards':8,'cells':4,'reach':1},'kinds':{'std':{'cores':2,'workMs':4,'warmMs':4000,"
                        + "'tipMultiple':2.5,'tipMs':1000}},'servers':[{'kind':'std','count':" + SERVERS
                        + ",'zones':['a','b','c']}],'script':"
                        + buildScript()
                        + "},'settings':{'opTypes':[{'name':'orders','budgetMs':2000,'timeoutMs':4000,'floor':0.9}]"
                        + subset + "},"
                        + "'load':{'lagBoundMs':60000,'phases':[{'lastsMs':" + DURATION_MS
                        + ",'rate':{'shape':'steady','perS':200}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':3},'clientMs':4000}]},"
                        + "'steps':[]}")
                .replace('\'', '"');
        return ClusterPlan.of(Document.parse("subset-change", text.getBytes(StandardCharsets.UTF_8), "nodes"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ObjectNode reportWithoutSubsets = PeersDrill.runCluster(buildPlan(seed, false), outcome -> {});
        ObjectNode reportWithSubsets = PeersDrill.runCluster(buildPlan(seed, true), outcome -> {
            outcome.rules()
                    .verdicts()
                    .forEach(verdict ->
                            findings.checkEqual("breaches of rule: " + verdict.rule().text, 0L, verdict.broken()));
            findings.checkEqual("nodes alive at the end", NODES, (int) outcome.nodes().stream()
                    .filter(node -> node.get("alive").asBoolean())
                    .count());
            List<Long> parts = Stream.of(outcome.servers())
                    .flatMap(servers -> {
                        Stream.Builder<JsonNode> serverReports = Stream.builder();
                        servers.forEach(serverReports::add);
                        return serverReports.build();
                    })
                    .map(server -> server.path("parts").asLong())
                    .sorted()
                    .toList();
            findings.checkAtLeast(
                    "servers that were sent parts",
                    SERVERS * 3 / 4,
                    parts.stream().filter(count -> count > 0).count());
        });
        double servedWithoutSubsets = PeersDrill.servedShare(reportWithoutSubsets);
        findings.note(
                "share served whole in the run without subsets",
                String.format(Locale.ROOT, "%.4f", servedWithoutSubsets));
        findings.checkAtLeast(
                "share served whole with subsets",
                servedWithoutSubsets - SERVED_SHARE_TOLERANCE,
                PeersDrill.servedShare(reportWithSubsets));
    }
}
