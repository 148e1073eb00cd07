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
 * Eight front nodes, each with its own subset, while servers are killed in groups and come back cold, some drain, and the lists of
 * some nodes are late. The same day is played once more without subsets, and service must be the same.
 */
final class SubsetDrill implements Drill {
    private static final int NODES = 8;
    private static final int SERVERS = 48;
    private static final int REPLICAS = 6;
    private static final double LASTS_MS = 24_000;
    /** Service may differ by so much from the day without subsets. */
    private static final double SERVICE = 0.01;

    @Override
    public String name() {
        return "subset-change";
    }

    @Override
    public String summary() {
        return "eight nodes with subsets: servers killed in groups and back cold, drains, late lists; served as without subsets";
    }

    @Override
    public String subsystem() {
        return "subset";
    }

    private static String servers(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(number -> "'s-" + number + "'")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static String script() {
        return Stream.of(
                        "{'atMs':2000,'do':'kill','servers':" + servers(0, 10) + "}",
                        "{'atMs':2500,'do':'roll-stale','nodes':[1,5],'lastsMs':2500}",
                        "{'atMs':7000,'do':'start','servers':" + servers(0, 10) + "}",
                        "{'atMs':10000,'do':'drain','servers':" + servers(20, 28) + "}",
                        "{'atMs':12000,'do':'roll-silent','nodes':[2,3],'lastsMs':1500}",
                        "{'atMs':13000,'do':'kill','servers':" + servers(30, 36) + "}",
                        "{'atMs':14000,'do':'restart','servers':" + servers(20, 28) + "}",
                        "{'atMs':17000,'do':'start','servers':" + servers(30, 36) + "}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static ClusterPlan plan(long seed, boolean subsets) {
        String subset = subsets ? ",'subset':{'replicasPerShard':" + REPLICAS + ",'leastZones':2}" : "";
        String text = ("{'seed':" + seed + ",'nodes':" + NODES + ",'seeds':2,'lastsMs':" + LASTS_MS
                        + ",'fleet':{'layout':{'shards':8,'cells':4,'reach':1},'kinds':{'std':{'cores':2,'workMs':4,'warmMs':4000,"
                        + "'tipMultiple':2.5,'tipMs':1000}},'servers':[{'kind':'std','count':" + SERVERS
                        + ",'zones':['a','b','c']}],'script':"
                        + script()
                        + "},'settings':{'opTypes':[{'name':'orders','budgetMs':2000,'timeoutMs':4000,'floor':0.9}]"
                        + subset + "},"
                        + "'load':{'lagBoundMs':60000,'phases':[{'lastsMs':" + LASTS_MS
                        + ",'rate':{'shape':'steady','perS':200}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':3},'clientMs':4000}]},"
                        + "'steps':[]}")
                .replace('\'', '"');
        return ClusterPlan.of(Document.parse("subset-change", text.getBytes(StandardCharsets.UTF_8), "nodes"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ObjectNode without = PeersDrill.played(plan(seed, false), outcome -> {});
        ObjectNode with = PeersDrill.played(plan(seed, true), outcome -> {
            outcome.rules()
                    .verdicts()
                    .forEach(verdict -> findings.checkEqual("broken: " + verdict.rule().text, 0L, verdict.broken()));
            findings.checkEqual("nodes alive at the end", NODES, (int) outcome.nodes().stream()
                    .filter(node -> node.get("alive").asBoolean())
                    .count());
            List<Long> parts = Stream.of(outcome.servers())
                    .flatMap(servers -> {
                        Stream.Builder<JsonNode> each = Stream.builder();
                        servers.forEach(each::add);
                        return each.build();
                    })
                    .map(server -> server.path("parts").asLong())
                    .sorted()
                    .toList();
            findings.checkAtLeast(
                    "servers that were sent parts",
                    SERVERS * 3 / 4,
                    parts.stream().filter(count -> count > 0).count());
        });
        double served = PeersDrill.served(without);
        findings.note("served whole of the day without subsets, share", String.format(Locale.ROOT, "%.4f", served));
        findings.checkAtLeast("served whole, share", served - SERVICE, PeersDrill.served(with));
    }
}
