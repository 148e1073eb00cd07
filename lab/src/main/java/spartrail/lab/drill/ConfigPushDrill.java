package spartrail.lab.drill;

import java.util.List;
import java.util.Map;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.cluster.ClusterPlan;
import spartrail.lab.cluster.PolicyHistoryChecker;
import spartrail.lab.rules.PolicyRules;

/**
 * Changes policy with new configuration files and SIGHUP, node after node, while some nodes are down, suspended or cut
 * off, and abandons some pushes halfway. This method breaks the rules of policy, and the rules must detect it.
 */
final class ConfigPushDrill implements Drill {
    private static final int NODES = 9;
    private static final int PUSH_COUNT = 20;
    private static final double DURATION_MS = 110_000;

    @Override
    public String name() {
        return "policy-pushed";
    }

    @Override
    public String summary() {
        return "versions pushed by files and SIGHUP, node after node: the rules of policy must detect breaches";
    }

    @Override
    public String subsystem() {
        return "policy";
    }

    private static String buildSteps() {
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < PUSH_COUNT; i++) {
            double atMs = 2000 + 5000.0 * i;
            int number = i + 1;
            boolean isAbandoned = i % 5 == 4;
            steps.append("{'when':{'atMs':")
                    .append(atMs)
                    .append("},'do':'push','nodes':[")
                    .append(listNodes(isAbandoned ? 4 : NODES))
                    .append("],'number':")
                    .append(number)
                    .append(",'gapMs':80,'settings':{'opTypes':{'orders':{'budgetMs':")
                    .append(1500 + 20 * i)
                    .append("}}}},");
            if (isAbandoned) {
                steps.append("{'when':{'atMs':")
                        .append(atMs + 600)
                        .append("},'do':'abandon','number':")
                        .append(number)
                        .append("},");
            }
            int node = 3 + i % 6;
            switch (i % 4) {
                case 0 -> steps.append("{'when':{'atMs':")
                        .append(atMs - 500)
                        .append("},'do':'kill','nodes':['n")
                        .append(node)
                        .append("']},{'when':{'atMs':")
                        .append(atMs + 1500)
                        .append("},'do':'start','nodes':['n")
                        .append(node)
                        .append("']},");
                case 1 -> steps.append("{'when':{'atMs':")
                        .append(atMs - 200)
                        .append("},'do':'stop','nodes':['n")
                        .append(node)
                        .append("'],'lastsMs':2500},");
                default -> steps.append("{'when':{'atMs':")
                        .append(atMs - 4000)
                        .append("},'do':'cut','nodes':['n")
                        .append(node)
                        .append("'],'lastsMs':8000},");
            }
        }
        return steps.append("{'name':'last','when':{'atMs':")
                .append(DURATION_MS - 3000)
                .append("},'do':'heal'}")
                .toString();
    }

    private static String listNodes(int count) {
        StringBuilder names = new StringBuilder();
        for (int node = 0; node < count; node++) {
            names.append(node == 0 ? "'n" : ",'n").append(node).append('\'');
        }
        return names.toString();
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ClusterPlan plan = PolicyDrill.buildPlan(seed, name(), DURATION_MS, "", "{}", buildSteps());
        PeersDrill.runCluster(plan, outcome -> {
            List<Line> lines = outcome.history().inOrder();
            PolicyRules rules = new PolicyHistoryChecker(
                            NODES, List.of(0, 1, 2), PolicyDrill.BOUNDS_WITHOUT_LEADER_LOSS)
                    .check(lines, outcome.policyRecords());
            findings.checkEqual(
                    "steps that were not executed",
                    "[]",
                    outcome.unexecutedSteps().toString());
            findings.checkAtLeast("multigets that were checked", 1000, rules.judged());
            Map<String, Integer> counts = rules.counts();
            for (String rule :
                    List.of("(b) refused is never", "(c) one version at an instant", "(e) out of touch it stops")) {
                findings.checkAtLeast("breaches detected of rule: " + rule, 1, counts.getOrDefault(rule, 0));
            }
            findings.note("multigets and pairs of versions that broke each rule", counts.toString());
            rules.breaches().forEach(breach -> findings.note("example", breach.toString()));
        });
    }
}
