package spartrail.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.lab.file.Document;

/**
 * A fleet as its file tells it.
 *
 * @param nodes front nodes that will use it; each has its own ports for servers and roll, so that who sends is known
 * @param firstPort servers listen on ports from this one on, node by node; 0 takes free ones
 * @param rollPort the roll's port for the first node, the next for the second; 0 takes free ones
 * @param noticeMs how long the roll takes to tell of a change that it was told itself
 * @param silentNoticeMs how long it takes to find out that a server has gone without a word
 */
public record FleetPlan(
        long seed,
        int shards,
        int cells,
        int reach,
        int nodes,
        int firstPort,
        int rollPort,
        double noticeMs,
        double silentNoticeMs,
        List<ServerSpec> servers,
        List<Deed> script) {
    /** An index server of the plan. */
    public record ServerSpec(String id, int cell, String zone, ServerProfile profile, double rating) {}

    /** What is done to some servers, or to the lists of some nodes (of all where none is named), and when. */
    public record Deed(
            double atMs, String what, List<String> servers, List<Integer> nodes, double by, double lastsMs) {}

    public static FleetPlan read(Path file) {
        return of(Document.read(file, "fleet"));
    }

    public static FleetPlan of(Document document) {
        JsonNode tree = document.tree;
        Map<String, ServerProfile> kinds = new LinkedHashMap<>();
        tree.get("kinds")
                .fields()
                .forEachRemaining(kind -> kinds.put(kind.getKey(), profile(kind.getKey(), kind.getValue())));
        JsonNode layout = tree.get("layout");
        int cells = layout.get("cells").asInt();
        List<ServerSpec> servers = new ArrayList<>();
        int at = 0;
        for (JsonNode group : tree.get("servers")) {
            ServerProfile profile = kinds.get(group.get("kind").asText());
            if (profile == null) {
                throw document.invalid(
                        "/servers/" + at + "/kind",
                        "found '" + group.get("kind").asText() + "', one of " + kinds.keySet() + " is expected");
            }
            List<String> zones = new ArrayList<>();
            group.path("zones").forEach(zone -> zones.add(zone.asText()));
            for (int i = 0; i < group.path("count").asInt(1); i++) {
                int number = servers.size();
                servers.add(new ServerSpec(
                        "s-" + number,
                        group.path("cell").asInt(number % cells),
                        zones.isEmpty() ? "a" : zones.get(i % zones.size()),
                        profile,
                        group.path("rating").asDouble(1)));
            }
            at++;
        }
        List<String> ids = servers.stream().map(ServerSpec::id).toList();
        List<Deed> script = new ArrayList<>();
        for (JsonNode deed : tree.path("script")) {
            List<String> whom = new ArrayList<>();
            for (JsonNode id : deed.path("servers")) {
                if (!ids.contains(id.asText())) {
                    throw document.invalid(
                            "/script/" + script.size() + "/servers/" + whom.size(),
                            "found '" + id.asText() + "', one of s-0 to s-" + (ids.size() - 1) + " is expected");
                }
                whom.add(id.asText());
            }
            List<Integer> nodes = new ArrayList<>();
            deed.path("nodes").forEach(node -> nodes.add(node.asInt()));
            script.add(new Deed(
                    deed.get("atMs").asDouble(),
                    deed.get("do").asText(),
                    whom,
                    nodes,
                    deed.path("by").asDouble(1),
                    deed.path("lastsMs").asDouble(0)));
        }
        JsonNode roll = tree.path("roll");
        return new FleetPlan(
                tree.path("seed").asLong(1),
                layout.get("shards").asInt(),
                cells,
                layout.path("reach").asInt(1),
                tree.path("nodes").asInt(1),
                tree.path("firstPort").asInt(0),
                roll.path("port").asInt(0),
                roll.path("noticeMs").asDouble(0),
                roll.path("silentNoticeMs").asDouble(2000),
                servers,
                script);
    }

    private static ServerProfile profile(String name, JsonNode node) {
        int cores = node.path("cores").asInt(2);
        double downMs = node.path("downMs").asDouble(0);
        return new ServerProfile(
                name,
                cores,
                node.path("speed").asDouble(1),
                cores * node.path("slotsPerCore").asInt(3),
                cores * node.path("queuePerCore").asInt(12),
                node.path("workMs").asDouble(5),
                node.path("variation").asDouble(0),
                node.path("callMs").asDouble(0),
                node.path("coldFrom").asDouble(0.2),
                node.path("warmMs").asDouble(10_000),
                node.path("tipMultiple").asDouble(2.5),
                node.path("tipMs").asDouble(2000),
                downMs == 0 ? Double.POSITIVE_INFINITY : downMs,
                node.path("handshakeMs").asDouble(0),
                node.path("connections").asInt(1000),
                node.path("errorShare").asDouble(0),
                node.path("pauseMs").asDouble(0),
                node.path("pauseEveryMs").asDouble(0),
                node.path("reportLateMs").asDouble(0));
    }

    /** The same fleet from another seed, for so many nodes, on free ports. */
    public FleetPlan withSeedAndNodes(long newSeed, int forNodes) {
        return new FleetPlan(newSeed, shards, cells, reach, forNodes, 0, 0, noticeMs, silentNoticeMs, servers, script);
    }

    /** Milliseconds of work that all servers do in one when warm. */
    public double capacity() {
        return servers.stream()
                .mapToDouble(line -> line.profile().cores() * line.profile().speed())
                .sum();
    }
}
