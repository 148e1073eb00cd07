package spartrail.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.lab.file.Document;

/**
 * A fleet plan as its file states it.
 *
 * @param reach number of cells that hold each shard
 * @param nodes number of front nodes; servers and discovery have separate ports for each, which identify the sender
 * @param firstPort first of the consecutive ports of the servers, one per server and node; 0 picks free ports
 * @param discoveryPort discovery's port for the first node, followed by those for the others; 0 picks free ports
 * @param noticeMs delay until discovery reports a change that a server announces
 * @param silentNoticeMs delay until discovery reports that a server has failed without announcing it
 */
public record FleetPlan(
        long seed,
        int shards,
        int cells,
        int reach,
        int nodes,
        int firstPort,
        int discoveryPort,
        double noticeMs,
        double silentNoticeMs,
        List<ServerSpec> servers,
        List<ScriptAction> script) {
    /** An index server of the plan; {@code rating} is the capacity hint that discovery reports for it. */
    public record ServerSpec(String id, int cell, String zone, ServerProfile profile, double rating) {}

    /** A scripted action on some servers, or on the discovery of some nodes; an empty list of nodes means all nodes. */
    public record ScriptAction(
            double atMs, String name, List<String> servers, List<Integer> nodes, double amount, double lastsMs) {}

    public static FleetPlan read(Path file) {
        return of(Document.read(file, "fleet"));
    }

    public static FleetPlan of(Document document) {
        JsonNode tree = document.tree;
        Map<String, ServerProfile> kinds = new LinkedHashMap<>();
        tree.get("kinds")
                .fields()
                .forEachRemaining(kind -> kinds.put(kind.getKey(), readProfile(kind.getKey(), kind.getValue())));
        JsonNode layout = tree.get("layout");
        int cells = layout.get("cells").asInt();
        List<ServerSpec> servers = new ArrayList<>();
        int groupIndex = 0;
        for (JsonNode group : tree.get("servers")) {
            ServerProfile profile = kinds.get(group.get("kind").asText());
            if (profile == null) {
                throw document.invalid(
                        "/servers/" + groupIndex + "/kind",
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
            groupIndex++;
        }
        List<String> ids = servers.stream().map(ServerSpec::id).toList();
        List<ScriptAction> script = new ArrayList<>();
        for (JsonNode action : tree.path("script")) {
            List<String> serverIds = new ArrayList<>();
            for (JsonNode id : action.path("servers")) {
                if (!ids.contains(id.asText())) {
                    throw document.invalid(
                            "/script/" + script.size() + "/servers/" + serverIds.size(),
                            "found '" + id.asText() + "', one of s-0 to s-" + (ids.size() - 1) + " is expected");
                }
                serverIds.add(id.asText());
            }
            List<Integer> nodes = new ArrayList<>();
            action.path("nodes").forEach(node -> nodes.add(node.asInt()));
            script.add(new ScriptAction(
                    action.get("atMs").asDouble(),
                    action.get("do").asText(),
                    serverIds,
                    nodes,
                    action.path("by").asDouble(1),
                    action.path("lastsMs").asDouble(0)));
        }
        JsonNode discovery = tree.path("roll");
        return new FleetPlan(
                tree.path("seed").asLong(1),
                layout.get("shards").asInt(),
                cells,
                layout.path("reach").asInt(1),
                tree.path("nodes").asInt(1),
                tree.path("firstPort").asInt(0),
                discovery.path("port").asInt(0),
                discovery.path("noticeMs").asDouble(0),
                discovery.path("silentNoticeMs").asDouble(2000),
                servers,
                script);
    }

    private static ServerProfile readProfile(String name, JsonNode node) {
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

    /** The same fleet with another seed and number of nodes, on free ports. */
    public FleetPlan withSeedAndNodes(long newSeed, int forNodes) {
        return new FleetPlan(newSeed, shards, cells, reach, forNodes, 0, 0, noticeMs, silentNoticeMs, servers, script);
    }

    /** Milliseconds of work that all servers, when warm, do in one millisecond. */
    public double capacity() {
        return servers.stream()
                .mapToDouble(
                        server -> server.profile().cores() * server.profile().speed())
                .sum();
    }
}
