package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.rules.PeersRules;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerState;

/**
 * Reads a merged history to the rules of peers, from what the rig did and what each node wrote. A line of a history is a
 * machine's; the rules speak of names. A name is its latest life's: of two processes that bear it the other one takes no part,
 * and what it writes meanwhile is not judged.
 */
public final class HistoryChecker {
    /** What the rig does that is no trouble. */
    private static final Set<String> HARMLESS = Set.of(
            "started",
            "begins",
            "flooded",
            "flood ends",
            "proposed",
            "ended",
            "aborted",
            "pushed",
            "armed",
            "harmed",
            "abandoned");

    private final PeersRules rules;
    private final List<String> names = new ArrayList<>();
    private final Map<Integer, Boolean> asked = new HashMap<>();
    /** Which name each machine's process bears, and which machine's process has a name. */
    private final Map<Integer, Integer> bears = new HashMap<>();

    private final Map<Integer, Integer> has = new HashMap<>();
    private final Map<Integer, Incarnation> lives = new HashMap<>();
    /** What the process on each machine holds, whether it takes part or not. */
    private final Map<Integer, Map<Integer, PeersRules.KnownPeer>> holds = new HashMap<>();

    private double lastMs;

    public HistoryChecker(int size) {
        rules = new PeersRules(size);
        for (int i = 0; i < size; i++) {
            names.add("n" + i);
        }
    }

    /** All lines in order of time; times are told from the first line on. {@code settled}: views must be equal at the end. */
    public PeersRules check(List<Line> lines, boolean settled) {
        long startNs = lines.isEmpty() ? 0 : lines.get(0).ns();
        for (Line line : lines) {
            lastMs = (line.ns() - startNs) / 1e6;
            if (line.node() < 0) {
                rig(line);
            } else {
                node(line);
            }
        }
        if (settled) {
            rules.checkAgreement(lastMs);
        }
        return rules;
    }

    private void rig(Line line) {
        JsonNode machines = line.tree().path("nodes");
        for (int i = 0; i < machines.size(); i++) {
            int machine = names.indexOf(machines.get(i).asText());
            if (line.what().equals("started")) {
                JsonNode as = line.tree().path("as");
                bears.put(
                        machine, as.has(i) ? names.indexOf(as.get(i).asText()) : bears.getOrDefault(machine, machine));
            }
            int node = bears.getOrDefault(machine, machine);
            if (!line.what().equals("started") && has.getOrDefault(node, machine) != machine) {
                continue;
            }
            switch (line.what()) {
                case "started" -> {
                    has.put(node, machine);
                    holds.remove(machine);
                    lives.remove(node);
                    rules.onStart(node);
                    asked.remove(node);
                }
                case "killed" -> rules.onEnd(node, asked.containsKey(node), lastMs);
                    // It serves on while it drains; others may hold it for left as soon as it says so.
                case "asked to end" -> {
                    asked.put(node, true);
                    rules.onEnd(node, true, lastMs);
                }
                default -> {}
            }
        }
        if (!HARMLESS.contains(line.what())) {
            rules.onFault(lastMs);
        }
    }

    /** The process on this machine has begun a life. */
    private void began(int machine, int node, Incarnation life) {
        if (has.getOrDefault(node, machine) != machine
                && lives.containsKey(node)
                && life.compareTo(lives.get(node)) <= 0) {
            return;
        }
        if (has.getOrDefault(node, machine) != machine) {
            // The other process of the name is over, and this one takes part again.
            rules.onResume(node, holds.getOrDefault(machine, Map.of()));
        }
        has.put(node, machine);
        lives.put(node, life);
        rules.onIncarnation(node, life);
    }

    private static PeersRules.KnownPeer held(JsonNode tree) {
        return new PeersRules.KnownPeer(
                new Incarnation(tree.get("startMs").asLong(), tree.get("nonce").asInt()),
                tree.get("turn").asInt(),
                PeerState.valueOf(tree.get("is").asText()));
    }

    private void node(Line line) {
        JsonNode tree = line.tree();
        int viewer = bears.getOrDefault(line.node(), line.node());
        if (line.what().equals("standing")) {
            int other = names.indexOf(tree.get("of").asText());
            Map<Integer, PeersRules.KnownPeer> held = holds.computeIfAbsent(line.node(), machine -> new HashMap<>());
            if (tree.get("is").isNull()) {
                held.remove(other);
            } else if (other != viewer) {
                held.put(other, held(tree));
            }
        }
        if (line.what().equals("began")) {
            began(
                    line.node(),
                    viewer,
                    new Incarnation(
                            tree.get("startMs").asLong(), tree.get("nonce").asInt()));
        }
        if (has.getOrDefault(viewer, line.node()) != line.node()) {
            return;
        }
        switch (line.what()) {
            case "standing" -> {
                int other = names.indexOf(tree.get("of").asText());
                if (other < 0) {
                    rules.breach(
                            lastMs,
                            "3 only known words",
                            tree.get("node").asText() + " holds "
                                    + tree.get("of").asText() + " for "
                                    + tree.get("is").asText() + ", which does not exist");
                } else if (other != viewer && tree.get("is").isNull()) {
                    rules.onForgotten(viewer, other);
                } else if (other != viewer) {
                    rules.onChange(new PeersRules.Change(
                            lastMs,
                            viewer,
                            other,
                            held(tree),
                            tree.get("by").asText().equals(tree.get("node").asText()),
                            tree.get("doubt").asText()));
                }
            }
            default -> {}
        }
    }
}
