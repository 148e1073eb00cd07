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
 * Checks a merged history against the rules of peers, from the harness's actions and the lines of each node. A history
 * line belongs to a machine, whereas the rules are about node names. A name belongs to its latest incarnation: if two
 * processes have the same name, the earlier one does not take part, and its lines are not checked meanwhile.
 */
public final class HistoryChecker {
    /** Harness events that are not faults. */
    private static final Set<String> NON_FAULT_EVENTS = Set.of(
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
    private final Map<Integer, Boolean> terminating = new HashMap<>();
    /** The node name of each machine's process. */
    private final Map<Integer, Integer> nameByMachine = new HashMap<>();

    /** The machine whose process currently owns each node name. */
    private final Map<Integer, Integer> machineByName = new HashMap<>();

    private final Map<Integer, Incarnation> incarnations = new HashMap<>();
    /** The view of the process on each machine, whether it takes part or not. */
    private final Map<Integer, Map<Integer, PeersRules.KnownPeer>> viewsByMachine = new HashMap<>();

    private double currentMs;

    public HistoryChecker(int size) {
        rules = new PeersRules(size);
        for (int i = 0; i < size; i++) {
            names.add("n" + i);
        }
    }

    /**
     * Checks all lines, which must be ordered by time. Breaches are reported with the time since the first line.
     *
     * @param settled whether all views must be equal at the end
     */
    public PeersRules check(List<Line> lines, boolean settled) {
        long startNs = lines.isEmpty() ? 0 : lines.get(0).ns();
        for (Line line : lines) {
            currentMs = (line.ns() - startNs) / 1e6;
            if (line.node() < 0) {
                readHarnessLine(line);
            } else {
                readNodeLine(line);
            }
        }
        if (settled) {
            rules.checkAgreement(currentMs);
        }
        return rules;
    }

    private void readHarnessLine(Line line) {
        JsonNode machines = line.tree().path("nodes");
        for (int i = 0; i < machines.size(); i++) {
            int machine = names.indexOf(machines.get(i).asText());
            if (line.event().equals("started")) {
                JsonNode newNames = line.tree().path("as");
                nameByMachine.put(
                        machine,
                        newNames.has(i)
                                ? names.indexOf(newNames.get(i).asText())
                                : nameByMachine.getOrDefault(machine, machine));
            }
            int node = nameByMachine.getOrDefault(machine, machine);
            if (!line.event().equals("started") && machineByName.getOrDefault(node, machine) != machine) {
                continue;
            }
            switch (line.event()) {
                case "started" -> {
                    machineByName.put(node, machine);
                    viewsByMachine.remove(machine);
                    incarnations.remove(node);
                    rules.onStart(node);
                    terminating.remove(node);
                }
                case "killed" -> rules.onEnd(node, terminating.containsKey(node), currentMs);
                    // The node still serves while it drains; other nodes may record it as left once it announces that.
                case "asked to end" -> {
                    terminating.put(node, true);
                    rules.onEnd(node, true, currentMs);
                }
                default -> {}
            }
        }
        if (!NON_FAULT_EVENTS.contains(line.event())) {
            rules.onFault(currentMs);
        }
    }

    /** Handles a {@code began} line: the process on this machine starts an incarnation. */
    private void startIncarnation(int machine, int node, Incarnation incarnation) {
        if (machineByName.getOrDefault(node, machine) != machine
                && incarnations.containsKey(node)
                && incarnation.compareTo(incarnations.get(node)) <= 0) {
            return;
        }
        if (machineByName.getOrDefault(node, machine) != machine) {
            // The other process of the name has ended: this one starts a later incarnation and takes part again.
            rules.onResume(node, viewsByMachine.getOrDefault(machine, Map.of()));
        }
        machineByName.put(node, machine);
        incarnations.put(node, incarnation);
        rules.onIncarnation(node, incarnation);
    }

    private static PeersRules.KnownPeer parseKnownPeer(JsonNode tree) {
        return new PeersRules.KnownPeer(
                new Incarnation(tree.get("startMs").asLong(), tree.get("nonce").asInt()),
                tree.get("turn").asInt(),
                PeerState.valueOf(tree.get("is").asText()));
    }

    private void readNodeLine(Line line) {
        JsonNode tree = line.tree();
        int viewer = nameByMachine.getOrDefault(line.node(), line.node());
        if (line.event().equals("standing")) {
            int other = names.indexOf(tree.get("of").asText());
            Map<Integer, PeersRules.KnownPeer> view =
                    viewsByMachine.computeIfAbsent(line.node(), machine -> new HashMap<>());
            if (tree.get("is").isNull()) {
                view.remove(other);
            } else if (other != viewer) {
                view.put(other, parseKnownPeer(tree));
            }
        }
        if (line.event().equals("began")) {
            startIncarnation(
                    line.node(),
                    viewer,
                    new Incarnation(
                            tree.get("startMs").asLong(), tree.get("nonce").asInt()));
        }
        if (machineByName.getOrDefault(viewer, line.node()) != line.node()) {
            return;
        }
        switch (line.event()) {
            case "standing" -> {
                int other = names.indexOf(tree.get("of").asText());
                if (other < 0) {
                    rules.breach(
                            currentMs,
                            "3 only known words",
                            tree.get("node").asText() + " reports "
                                    + tree.get("of").asText() + " as "
                                    + tree.get("is").asText() + ", but no node has that name");
                } else if (other != viewer && tree.get("is").isNull()) {
                    rules.onForgotten(viewer, other);
                } else if (other != viewer) {
                    rules.onChange(new PeersRules.Change(
                            currentMs,
                            viewer,
                            other,
                            parseKnownPeer(tree),
                            tree.get("by").asText().equals(tree.get("node").asText()),
                            tree.get("doubt").asText()));
                }
            }
            default -> {}
        }
    }
}
