package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import spartrail.lab.experiment.NodeSettings;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.plan.LoadPlan;

/**
 * A plan for {@link ClusterHarness}, read from a file in the form of {@code schema/nodes.json}.
 *
 * @param seeds number of nodes that are listed as gossip seeds
 * @param durationMs longest duration of the run
 * @param endStep the run ends when the step of this name, or with {@code all} every step, has been executed; null:
 *     after {@code durationMs}
 * @param peers content of the nodes' peers files apart from names and addresses; null: the nodes do not gossip
 * @param nodeOverrides settings that apply to single nodes, by node name
 * @param load null for a run without load
 */
public record ClusterPlan(
        long seed,
        int nodes,
        int seeds,
        double durationMs,
        String endStep,
        JsonNode peers,
        JsonNode nodeOverrides,
        FleetPlan fleet,
        NodeSettings settings,
        LoadPlan load,
        List<Step> steps) {
    /**
     * When a step is due: at {@code atMs} after the start of the run, or {@code delayMs} after another step or an
     * observation. The run starts once all nodes are up. An observation is a history line of {@code observer} (or of
     * any node) that reports {@code subject} in {@code state}, or that has all of {@code lineValues}. With {@code
     * afterStep}, only lines read after that step count.
     *
     * @param atMs below 0 where the step waits for another step or an observation
     * @param observer null where the step does not wait for an observation
     * @param count how many matching lines the step waits for
     */
    public record Trigger(
            double atMs,
            String observer,
            String subject,
            String state,
            JsonNode lineValues,
            int count,
            String afterStep,
            double delayMs) {
        boolean waitsForObservation() {
            return observer != null;
        }
    }

    /** Stands for the node whose history line fired the step's trigger. */
    public static final int OBSERVED = -1;

    /** Stands for all nodes whose processes are not running. */
    public static final int DOWN = -2;
    /** Stands for the voter that leads the policy log, according to the nodes' histories. */
    public static final int LEADER = -3;

    /** Stands for the first running voter that is not the leader. */
    public static final int FOLLOWER = -4;

    /** The plan's words for the constants above, in the order of their values. */
    private static final List<String> NODE_WORDS = List.of("seen", "down", "leader", "follower");

    /**
     * An action on some nodes.
     *
     * @param others nodes at the far ends of links; empty for all other nodes
     * @param durationMs how long the action lasts; 0 for no end
     * @param parameters the whole step as it stands in the plan
     */
    public record Step(
            String name,
            Trigger trigger,
            String action,
            List<Integer> nodes,
            List<Integer> others,
            double durationMs,
            JsonNode parameters) {}

    public static ClusterPlan read(Path file) {
        return of(Document.read(file, "nodes"));
    }

    public static ClusterPlan of(Document document) {
        JsonNode tree = document.tree;
        int nodeCount = tree.get("nodes").asInt();
        List<Step> steps = new ArrayList<>();
        for (JsonNode step : tree.path("steps")) {
            String jsonPointer = "/steps/" + steps.size();
            JsonNode when = step.get("when");
            JsonNode observation = when.path("seen");
            String afterStep = when.path("step").asText(null);
            if (afterStep != null
                    && steps.stream().noneMatch(each -> each.name().equals(afterStep))) {
                throw document.invalid(
                        jsonPointer + "/when/step",
                        "found '" + afterStep + "', the name of an earlier step is expected");
            }
            if (step.has("as")
                    && parseNodes(document, step.get("as"), nodeCount, jsonPointer + "/as")
                                    .size()
                            != step.path("nodes").size()) {
                throw document.invalid(
                        jsonPointer + "/as",
                        "found " + step.get("as").size() + " names, one for each of /nodes is expected");
            }
            steps.add(new Step(
                    step.path("name").asText("step-" + steps.size()),
                    new Trigger(
                            when.path("atMs").asDouble(-1),
                            observation.path("node").asText(null),
                            observation.path("of").asText(null),
                            observation.path("is").asText(null),
                            observation.get("line"),
                            observation.path("times").asInt(1),
                            afterStep,
                            when.path("afterMs").asDouble(0)),
                    step.get("do").asText(),
                    parseNodes(document, step.path("nodes"), nodeCount, jsonPointer + "/nodes"),
                    parseNodes(document, step.path("others"), nodeCount, jsonPointer + "/others"),
                    step.path("lastsMs").asDouble(0),
                    step));
        }
        return new ClusterPlan(
                tree.path("seed").asLong(1),
                nodeCount,
                tree.path("seeds").asInt(2),
                tree.get("lastsMs").asDouble(),
                tree.path("ends").asText(null),
                tree.path("peers").isObject() ? tree.get("peers") : null,
                tree.path("own"),
                FleetPlan.of(subdocument(document, "fleet")),
                new NodeSettings(tree.get("settings")),
                tree.has("load") ? LoadPlan.of(subdocument(document, "load")) : null,
                List.copyOf(steps));
    }

    private static Document subdocument(Document document, String name) {
        return Document.of(document.name + " /" + name, document.tree.get(name), name);
    }

    private static List<Integer> parseNodes(Document document, JsonNode names, int nodeCount, String jsonPointer) {
        List<Integer> nodeNumbers = new ArrayList<>();
        for (JsonNode name : names) {
            if (NODE_WORDS.contains(name.asText())) {
                nodeNumbers.add(-1 - NODE_WORDS.indexOf(name.asText()));
                continue;
            }
            if (!name.asText().matches("n[0-9]{1,4}")
                    || Integer.parseInt(name.asText().substring(1)) >= nodeCount) {
                throw document.invalid(
                        jsonPointer + "/" + nodeNumbers.size(),
                        "found '" + name.asText() + "', one of n0 to n" + (nodeCount - 1) + ", or one of " + NODE_WORDS
                                + " is expected");
            }
            nodeNumbers.add(Integer.parseInt(name.asText().substring(1)));
        }
        return List.copyOf(nodeNumbers);
    }

    /** A copy of this plan whose nodes do not gossip, for comparison. */
    public ClusterPlan withoutPeers() {
        return new ClusterPlan(
                seed, nodes, seeds, durationMs, endStep, null, nodeOverrides, fleet, settings, load, steps);
    }

    /** A copy of this plan with other steps and another duration. */
    public ClusterPlan withSteps(List<Step> newSteps, double newDurationMs) {
        return new ClusterPlan(
                seed, nodes, seeds, newDurationMs, null, peers, nodeOverrides, fleet, settings, load, newSteps);
    }

    /** Whether the nodes use versions of policy from the agreed log. */
    boolean hasPolicy() {
        return peers != null && peers.has("policy");
    }

    /** Names of the nodes that vote on policy changes. */
    List<String> voters() {
        List<String> names = new ArrayList<>();
        peers.path("policy").path("deciders").forEach(name -> names.add(name.asText()));
        return names;
    }

    /** Builds the content of one node's peers file. */
    ObjectNode buildPeersFile(int node, String listen, String advertise, List<String> seedAddresses) {
        ObjectNode file = Document.JSON.createObjectNode();
        file.put("fleet", "rig").put("name", "n" + node).put("listen", listen).put("advertise", advertise);
        var seedList = file.putArray("seeds");
        seedAddresses.forEach(seedList::add);
        peers.fields().forEachRemaining(field -> file.set(field.getKey(), field.getValue()));
        return file;
    }
}
