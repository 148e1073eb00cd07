package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.rules.PolicyRules;

/**
 * Reads a merged history and the records of all nodes to the rules of policy. When a node could hear of the log is told from
 * what the rig did alone: which processes ran, which stood still, which links were cut.
 */
public final class PolicyHistoryChecker {
    /** The rig's lines that take a link away, and give it back. */
    private static final Map<String, Integer> LINKS =
            Map.of("cut", 1, "cut ends", -1, "one-way", 1, "one-way ends", -1);

    private final int size;
    private final List<Integer> deciders;
    private final PolicyRules rules;
    private final boolean[] runs;
    private final boolean[] stands;
    private final int[][] barred;
    private final long[] outSince;
    private final Map<String, Long> proposed = new TreeMap<>();
    private final List<long[]> withoutMajority = new ArrayList<>();
    private long noMajoritySince = -1;

    public PolicyHistoryChecker(int size, List<Integer> deciders, PolicyRules.Bounds bounds) {
        this.size = size;
        this.deciders = deciders;
        this.rules = new PolicyRules(bounds);
        this.runs = new boolean[size];
        this.stands = new boolean[size];
        this.barred = new int[size][size];
        this.outSince = new long[size];
        java.util.Arrays.fill(outSince, -1);
    }

    public PolicyRules read(List<Line> lines, List<PolicyRules.MultigetDecision> taken) {
        Map<String, long[]> ended = new HashMap<>();
        long lastNs = 0;
        for (Line line : lines) {
            lastNs = line.ns();
            if (line.node() >= 0) {
                node(line);
                continue;
            }
            rig(line, ended);
        }
        for (int node = 0; node < size; node++) {
            if (outSince[node] >= 0) {
                rules.onUnreachable(node, outSince[node], Long.MAX_VALUE);
            }
        }
        if (noMajoritySince >= 0) {
            withoutMajority.add(new long[] {noMajoritySince, Long.MAX_VALUE});
        }
        long endNs = lastNs;
        proposed.forEach((step, fromNs) -> {
            long toNs = ended.containsKey(step) ? ended.get(step)[0] : endNs;
            if (withoutMajority.stream().noneMatch(span -> span[0] < toNs && fromNs < span[1])) {
                rules.onProposalEnd(step, fromNs, toNs);
            }
        });
        rules.judge(taken);
        return rules;
    }

    private void node(Line line) {
        if (line.what().equals("log")) {
            JsonNode tree = line.tree();
            rules.onVersionHeld(tree.get("holds").asLong());
            String[] last = tree.get("last").asText().split(" ", 3);
            if (last.length > 1 && (last[1].equals("REFUSED") || last[1].equals("ABORTED"))) {
                rules.onProposalRejected(Long.parseLong(last[0]), last[1]);
            }
        } else if (line.what().equals("policy")) {
            rules.onPolicyChange(line.node(), line.tree().get("by").asText());
        } else if (line.what().equals("told")) {
            rules.onVersionHeld(line.tree().get("holds").asLong());
        }
    }

    private void rig(Line line, Map<String, long[]> ended) {
        List<Integer> nodes = numbers(line.tree().path("nodes"));
        List<Integer> others = numbers(line.tree().path("others"));
        switch (line.what()) {
            case "started" -> nodes.forEach(node -> {
                runs[node] = true;
                rules.onStart(node);
            });
            case "killed" -> nodes.forEach(node -> runs[node] = false);
            case "stopped" -> nodes.forEach(node -> stands[node] = true);
            case "goes on" -> nodes.forEach(node -> stands[node] = false);
            case "healed" -> {
                for (int[] row : barred) {
                    java.util.Arrays.fill(row, 0);
                }
            }
            case "proposed" -> proposed.put(line.tree().get("step").asText(), line.ns());
            case "ended" -> ended.put(line.tree().get("step").asText(), new long[] {line.ns()});
            case "abandoned" -> rules.onProposalRejected(
                    line.tree().path("number").asLong(), "abandoned");
            case "pushed" -> rules.onVersionHeld(line.tree().path("number").asLong());
            default -> {
                if (LINKS.containsKey(line.what())) {
                    cut(nodes, others, LINKS.get(line.what()), line.what().startsWith("cut"));
                }
            }
        }
        look(line.ns());
    }

    private static List<Integer> numbers(JsonNode names) {
        List<Integer> numbers = new ArrayList<>();
        names.forEach(name -> numbers.add(Integer.parseInt(name.asText().substring(1))));
        return numbers;
    }

    private void cut(List<Integer> nodes, List<Integer> others, int by, boolean both) {
        for (int node : nodes) {
            for (int other = 0; other < size; other++) {
                if (others.isEmpty() ? !nodes.contains(other) : others.contains(other)) {
                    barred[node][other] = Math.max(0, barred[node][other] + by);
                    barred[other][node] = Math.max(0, barred[other][node] + (both ? by : 0));
                }
            }
        }
    }

    private boolean linked(int one, int other) {
        return one == other || barred[one][other] == 0 && barred[other][one] == 0;
    }

    private boolean majority(int decider) {
        return runs[decider]
                && !stands[decider]
                && 2
                                * deciders.stream()
                                        .filter(other -> runs[other] && !stands[other] && linked(decider, other))
                                        .count()
                        > deciders.size();
    }

    private void look(long ns) {
        boolean any = deciders.stream().anyMatch(this::majority);
        if (!any && noMajoritySince < 0) {
            noMajoritySince = ns;
        } else if (any && noMajoritySince >= 0) {
            withoutMajority.add(new long[] {noMajoritySince, ns});
            noMajoritySince = -1;
        }
        for (int node = 0; node < size; node++) {
            int seeing = node;
            boolean out = deciders.stream().noneMatch(decider -> majority(decider) && linked(seeing, decider));
            if (out && outSince[node] < 0) {
                outSince[node] = ns;
            } else if (!out && outSince[node] >= 0) {
                rules.onUnreachable(node, outSince[node], ns);
                outSince[node] = -1;
            }
        }
    }
}
