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
 * What a rig plays, as its file tells it; the form is {@code schema/nodes.json}.
 *
 * @param peers what the nodes' peers' files say beside names and addresses; null: they do not talk
 * @param own by node, what its own settings have that others' have not
 * @param lastsMs so long at the most
 * @param ends the run ends when the step of this name is taken, or {@code all} are; null: at its time
 * @param load null for none
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
     * When a step is taken: at a time after all nodes are up, or so long after something was seen, or after another step.
     * Seen is what a node says: that it holds another one (or anybody) for this, by its own history; or a line of it that has
     * all these values; with a step, after that only.
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

    /** Who wrote what the step waited for; and all whose processes do not run. */
    public static final int OBSERVED = -1;

    public static final int DOWN = -2;
    /** Who leads those that decide about policy, as far as the rig was told; and one of the others of them. */
    public static final int LEADER = -3;

    public static final int FOLLOWER = -4;
    private static final List<String> NODE_WORDS = List.of("seen", "down", "leader", "follower");

    /** What is done, to whom; {@code others} are the far ends of links, all other nodes where empty. */
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
        int count = tree.get("nodes").asInt();
        List<Step> steps = new ArrayList<>();
        for (JsonNode step : tree.path("steps")) {
            String place = "/steps/" + steps.size();
            JsonNode when = step.get("when");
            JsonNode seen = when.path("seen");
            String after = when.path("step").asText(null);
            if (after != null && steps.stream().noneMatch(each -> each.name().equals(after))) {
                throw document.invalid(
                        place + "/when/step", "found '" + after + "', the name of an earlier step is expected");
            }
            if (step.has("as")
                    && parseNodes(document, step.get("as"), count, place + "/as")
                                    .size()
                            != step.path("nodes").size()) {
                throw document.invalid(
                        place + "/as", "found " + step.get("as").size() + " names, one for each of /nodes is expected");
            }
            steps.add(new Step(
                    step.path("name").asText("step-" + steps.size()),
                    new Trigger(
                            when.path("atMs").asDouble(-1),
                            seen.path("node").asText(null),
                            seen.path("of").asText(null),
                            seen.path("is").asText(null),
                            seen.get("line"),
                            seen.path("times").asInt(1),
                            after,
                            when.path("afterMs").asDouble(0)),
                    step.get("do").asText(),
                    parseNodes(document, step.path("nodes"), count, place + "/nodes"),
                    parseNodes(document, step.path("others"), count, place + "/others"),
                    step.path("lastsMs").asDouble(0),
                    step));
        }
        return new ClusterPlan(
                tree.path("seed").asLong(1),
                count,
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

    private static List<Integer> parseNodes(Document document, JsonNode names, int count, String place) {
        List<Integer> nodeNumbers = new ArrayList<>();
        for (JsonNode name : names) {
            if (NODE_WORDS.contains(name.asText())) {
                nodeNumbers.add(-1 - NODE_WORDS.indexOf(name.asText()));
                continue;
            }
            if (!name.asText().matches("n[0-9]{1,4}")
                    || Integer.parseInt(name.asText().substring(1)) >= count) {
                throw document.invalid(
                        place + "/" + nodeNumbers.size(),
                        "found '" + name.asText() + "', one of n0 to n" + (count - 1) + ", or one of " + NODE_WORDS
                                + " is expected");
            }
            nodeNumbers.add(Integer.parseInt(name.asText().substring(1)));
        }
        return List.copyOf(nodeNumbers);
    }

    /** The same without talk among nodes, for comparison. */
    public ClusterPlan withoutPeers() {
        return new ClusterPlan(
                seed, nodes, seeds, durationMs, endStep, null, nodeOverrides, fleet, settings, load, steps);
    }

    /** The same with other steps, for so long. */
    public ClusterPlan withSteps(List<Step> newSteps, double newDurationMs) {
        return new ClusterPlan(
                seed, nodes, seeds, newDurationMs, null, peers, nodeOverrides, fleet, settings, load, newSteps);
    }

    /** Whether nodes go by versions of policy, and who decides about them. */
    boolean hasPolicy() {
        return peers != null && peers.has("policy");
    }

    List<String> voters() {
        List<String> names = new ArrayList<>();
        peers.path("policy").path("deciders").forEach(name -> names.add(name.asText()));
        return names;
    }

    /** The peers' file of one node. */
    ObjectNode buildPeersFile(int node, String listen, String advertise, List<String> seedAddresses) {
        ObjectNode file = Document.JSON.createObjectNode();
        file.put("fleet", "rig").put("name", "n" + node).put("listen", listen).put("advertise", advertise);
        var seedList = file.putArray("seeds");
        seedAddresses.forEach(seedList::add);
        peers.fields().forEachRemaining(field -> file.set(field.getKey(), field.getValue()));
        return file;
    }
}
