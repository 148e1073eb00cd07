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
 * Checks a merged history and the records of all nodes against the rules of policy. Whether a node could reach the
 * policy log at a time is derived from the harness's actions alone: which processes were running or suspended, and
 * which links were cut.
 */
public final class PolicyHistoryChecker {
    /** Harness events that cut links (+1) or restore them (-1). */
    private static final Map<String, Integer> LINK_CHANGES =
            Map.of("cut", 1, "cut ends", -1, "one-way", 1, "one-way ends", -1);

    private final int size;
    private final List<Integer> voters;
    private final PolicyRules rules;
    private final boolean[] running;
    private final boolean[] suspended;
    /** Number of active cuts of the link from one node to another. */
    private final int[][] blockedLinks;
    /** Since when each node has been unable to reach a voter that has a majority; -1 if it can. */
    private final long[] unreachableSinceNs;

    private final Map<String, Long> proposedAtNs = new TreeMap<>();
    private final List<long[]> spansWithoutMajority = new ArrayList<>();
    private long noMajoritySinceNs = -1;

    public PolicyHistoryChecker(int size, List<Integer> voters, PolicyRules.Bounds bounds) {
        this.size = size;
        this.voters = voters;
        this.rules = new PolicyRules(bounds);
        this.running = new boolean[size];
        this.suspended = new boolean[size];
        this.blockedLinks = new int[size][size];
        this.unreachableSinceNs = new long[size];
        java.util.Arrays.fill(unreachableSinceNs, -1);
    }

    public PolicyRules check(List<Line> lines, List<PolicyRules.MultigetDecision> taken) {
        Map<String, long[]> endedAtNs = new HashMap<>();
        long lineNs = 0;
        for (Line line : lines) {
            lineNs = line.ns();
            if (line.node() >= 0) {
                readNodeLine(line);
                continue;
            }
            readHarnessLine(line, endedAtNs);
        }
        for (int node = 0; node < size; node++) {
            if (unreachableSinceNs[node] >= 0) {
                rules.onUnreachable(node, unreachableSinceNs[node], Long.MAX_VALUE);
            }
        }
        if (noMajoritySinceNs >= 0) {
            spansWithoutMajority.add(new long[] {noMajoritySinceNs, Long.MAX_VALUE});
        }
        long endNs = lineNs;
        proposedAtNs.forEach((step, fromNs) -> {
            long toNs = endedAtNs.containsKey(step) ? endedAtNs.get(step)[0] : endNs;
            if (spansWithoutMajority.stream().noneMatch(span -> span[0] < toNs && fromNs < span[1])) {
                rules.onProposalEnd(step, fromNs, toNs);
            }
        });
        rules.judge(taken);
        return rules;
    }

    private void readNodeLine(Line line) {
        if (line.event().equals("log")) {
            JsonNode tree = line.tree();
            rules.onVersionHeld(tree.get("holds").asLong());
            String[] last = tree.get("last").asText().split(" ", 3);
            if (last.length > 1 && (last[1].equals("REFUSED") || last[1].equals("ABORTED"))) {
                rules.onProposalRejected(Long.parseLong(last[0]), last[1]);
            }
        } else if (line.event().equals("policy")) {
            rules.onPolicyChange(line.node(), line.tree().get("by").asText());
        } else if (line.event().equals("told")) {
            rules.onVersionHeld(line.tree().get("holds").asLong());
        }
    }

    private void readHarnessLine(Line line, Map<String, long[]> endedAtNs) {
        List<Integer> nodes = parseNodes(line.tree().path("nodes"));
        List<Integer> others = parseNodes(line.tree().path("others"));
        switch (line.event()) {
            case "started" -> nodes.forEach(node -> {
                running[node] = true;
                rules.onStart(node);
            });
            case "killed" -> nodes.forEach(node -> running[node] = false);
            case "stopped" -> nodes.forEach(node -> suspended[node] = true);
            case "goes on" -> nodes.forEach(node -> suspended[node] = false);
            case "healed" -> {
                for (int[] row : blockedLinks) {
                    java.util.Arrays.fill(row, 0);
                }
            }
            case "proposed" -> proposedAtNs.put(line.tree().get("step").asText(), line.ns());
            case "ended" -> endedAtNs.put(line.tree().get("step").asText(), new long[] {line.ns()});
            case "abandoned" -> rules.onProposalRejected(
                    line.tree().path("number").asLong(), "abandoned");
            case "pushed" -> rules.onVersionHeld(line.tree().path("number").asLong());
            default -> {
                if (LINK_CHANGES.containsKey(line.event())) {
                    changeLinks(
                            nodes,
                            others,
                            LINK_CHANGES.get(line.event()),
                            line.event().startsWith("cut"));
                }
            }
        }
        updateReachability(line.ns());
    }

    private static List<Integer> parseNodes(JsonNode names) {
        List<Integer> nodeNumbers = new ArrayList<>();
        names.forEach(name -> nodeNumbers.add(Integer.parseInt(name.asText().substring(1))));
        return nodeNumbers;
    }

    private void changeLinks(List<Integer> nodes, List<Integer> others, int change, boolean bothWays) {
        for (int node : nodes) {
            for (int other = 0; other < size; other++) {
                if (others.isEmpty() ? !nodes.contains(other) : others.contains(other)) {
                    blockedLinks[node][other] = Math.max(0, blockedLinks[node][other] + change);
                    blockedLinks[other][node] = Math.max(0, blockedLinks[other][node] + (bothWays ? change : 0));
                }
            }
        }
    }

    private boolean isLinked(int node, int other) {
        return node == other || blockedLinks[node][other] == 0 && blockedLinks[other][node] == 0;
    }

    /** Whether this voter runs and is linked to a majority of the voters, itself included. */
    private boolean hasMajority(int voter) {
        return running[voter]
                && !suspended[voter]
                && 2
                                * voters.stream()
                                        .filter(other -> running[other] && !suspended[other] && isLinked(voter, other))
                                        .count()
                        > voters.size();
    }

    private void updateReachability(long ns) {
        boolean hasMajority = voters.stream().anyMatch(this::hasMajority);
        if (!hasMajority && noMajoritySinceNs < 0) {
            noMajoritySinceNs = ns;
        } else if (hasMajority && noMajoritySinceNs >= 0) {
            spansWithoutMajority.add(new long[] {noMajoritySinceNs, ns});
            noMajoritySinceNs = -1;
        }
        for (int node = 0; node < size; node++) {
            int observer = node;
            boolean isUnreachable = voters.stream().noneMatch(voter -> hasMajority(voter) && isLinked(observer, voter));
            if (isUnreachable && unreachableSinceNs[node] < 0) {
                unreachableSinceNs[node] = ns;
            } else if (!isUnreachable && unreachableSinceNs[node] >= 0) {
                rules.onUnreachable(node, unreachableSinceNs[node], ns);
                unreachableSinceNs[node] = -1;
            }
        }
    }
}
