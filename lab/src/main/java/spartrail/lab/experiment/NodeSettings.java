package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.rules.RuleLimits;

/**
 * Settings of the front nodes of an experiment; {@link #config} translates them to the names of a node's configuration
 * file.
 */
public final class NodeSettings {
    /** Settings of one op type, by the names of the plan. */
    record Op(
            String name,
            double budgetMs,
            double timeoutMs,
            double lateShare,
            double importance,
            RuleLimits.Repeat repeat,
            double dedupMs,
            double need,
            double floor,
            double partialShare) {}

    private final JsonNode tree;
    private final List<Op> opTypes = new ArrayList<>();

    public NodeSettings(JsonNode tree) {
        this.tree = tree;
        for (JsonNode op : tree.get("opTypes")) {
            double need = op.path("need").asDouble(1);
            opTypes.add(new Op(
                    op.get("name").asText(),
                    op.get("budgetMs").asDouble(),
                    op.get("timeoutMs").asDouble(),
                    op.path("lateShare").asDouble(0.3),
                    op.path("importance").asDouble(1),
                    RuleLimits.Repeat.valueOf(op.path("repeat")
                            .asText("retriable")
                            .replace('-', '_')
                            .toUpperCase()),
                    op.path("dedupMs").asDouble(0),
                    need,
                    op.path("floor").asDouble(need),
                    op.path("partialShare").asDouble(0.9)));
        }
    }

    /** Memory limit of a front node. */
    public int memoryMb() {
        return tree.path("memoryMb").asInt(144);
    }

    /** The limits by which the rules are checked; {@link #config} gives the nodes the same ones. */
    public RuleLimits terms() {
        Map<String, RuleLimits.Op> ops = new HashMap<>();
        opTypes.forEach(op -> ops.put(op.name(), new RuleLimits.Op(op.repeat(), op.dedupMs(), op.need(), op.floor())));
        JsonNode budget = tree.path("furtherSends");
        return new RuleLimits(
                ops,
                tree.path("drainGraceMs").asDouble(500),
                70,
                tree.path("mostSends").asInt(4),
                tree.path("copies").asBoolean(true),
                budget.path("ratio").asDouble(Double.POSITIVE_INFINITY),
                budget.path("least").asDouble(0),
                budget.path("windowMs").asDouble(10_000));
    }

    /** The configuration file of node number {@code node} of {@code nodes}. */
    public ObjectNode config(int node, int nodes, String listen, Fleet fleet, long seed) throws java.io.IOException {
        FleetPlan plan = fleet.plan();
        ObjectNode config = Document.JSON.createObjectNode();
        config.put("name", "n" + node)
                .put("version", "0")
                .put("listen", listen)
                .put("discovery", fleet.discoveryAddress(node))
                .put("seed", Long.toHexString(seed * 1_000_003 + node));
        config.putObject("limits")
                .put("cores", tree.path("cores").asDouble(1))
                .put("memory_mb", memoryMb())
                .put("sockets", tree.path("sockets").asInt(1024));
        config.set("known", Document.JSON.readTree(fleet.hostListJson(node)));
        ObjectNode settings = config.putObject("settings");
        settings.put("tick", 0.005)
                .put("peers-total", nodes)
                .put("discovery", "push")
                .put("zone", zones(plan).get(node % zones(plan).size()));
        ArrayNode areas = settings.putArray("areas");
        zones(plan).forEach(areas::add);
        if (tree.has("subset")) {
            settings.set("subset", tree.get("subset"));
        }
        ArrayNode classes = settings.putArray("classes");
        ObjectNode family = settings.putObject("family-info");
        family.put("slabs", plan.shards())
                .put("sets", plan.cells())
                .put("width", plan.reach())
                .put("batch", tree.path("partsInACall").asInt(4))
                .put("call", 0.0);
        ArrayNode need = family.putArray("class-need");
        ArrayNode floor = family.putArray("class-floor");
        ArrayNode partial = family.putArray("class-partial");
        ArrayNode fetchParts = family.putArray("fetch-parts");
        for (Op op : opTypes) {
            ObjectNode opClass = classes.addObject()
                    .put("name", op.name())
                    .put("aim", op.budgetMs() / 1000)
                    .put("deadline", op.timeoutMs() / 1000)
                    .put("late-share", op.lateShare())
                    .put("worth", op.importance())
                    .put(
                            "effect",
                            switch (op.repeat()) {
                                case RETRIABLE -> "free";
                                case DEDUPED -> "guarded";
                                default -> "single_shot";
                            });
            if (op.dedupMs() > 0) {
                opClass.put("key-ttl", op.dedupMs() / 1000);
            }
            need.add(op.need());
            floor.add(op.floor());
            partial.add(op.partialShare());
            fetchParts.add(0);
        }
        settings.putObject("bounds")
                .put("cancelling", true)
                .put("connect-timeout", 0.25)
                .put("keepalive", 30.0)
                .put("max-retry-after", tree.path("mostComebackMs").asDouble(1000) / 1000)
                .put("open-cap", tree.path("openCap").asInt(2000))
                .put("parallel-tries", terms().parallel())
                .put("retry-after", true)
                .put("streams-per-conn", 100)
                .put("try-limit", terms().mostSends());
        var profile = plan.servers().get(0).profile();
        ObjectNode rules = settings.putObject("rules")
                .put("cold-share", profile.coldFrom())
                .put("warm-within", profile.warmMs() / 1000)
                .put("tip-multiple", profile.tipMultiple())
                .put("fall", profile.tipMs() / 1000)
                .put("stop-sending-within", terms().graceMs() / 1000)
                .put("answer-slack", 0.02);
        if (Double.isFinite(terms().retryRatio())) {
            rules.put("further-ratio", terms().retryRatio())
                    .put("min-extra", terms().minRetries())
                    .put("budget-window", terms().retryWindowMs() / 1000);
        }
        return config;
    }

    /** The zones that a fleet's servers are in. */
    public static List<String> zones(FleetPlan plan) {
        return plan.servers().stream()
                .map(FleetPlan.ServerSpec::zone)
                .distinct()
                .toList();
    }
}
