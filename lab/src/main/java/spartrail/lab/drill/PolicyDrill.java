package spartrail.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import spartrail.lab.cluster.ClusterHarness;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.cluster.ClusterPlan;
import spartrail.lab.cluster.PolicyHistoryChecker;
import spartrail.lab.file.Document;
import spartrail.lab.rules.PolicyRules;
import spartrail.policy.PolicyTimings;
import spartrail.policy.replication.CrashPoint;

/**
 * Runs nine front nodes under load, three of them policy voters, and makes a series of policy changes while processes
 * crash, stall or lose contact. The nodes' records show which version decided each multiget, and the rules of policy
 * are checked against them. The same faults then run at the same times without changes, to measure what the changes
 * cost.
 */
final class PolicyDrill implements Drill {
    private static final int NODES = 9;
    private static final int DEFAULT_CHANGES = 20;
    private static final PolicyTimings TIMINGS = new PolicyTimings(3000, 500, 8000, 10_000, 0.02);
    /**
     * Longest time until the policy log has a new leader after the previous one is lost: the election time-out, an
     * election, and a second election.
     */
    private static final double LEADER_CHANGE_BOUND_MS = 8000;

    private static final String POLICY =
            "{'deciders':['n0','n1','n2'],'leaseMs':3000,'askMs':500,'prepareMs':8000,'readyMs':10000}";

    /** Builds the steps of a drill as JSON: each has a name, a condition and an action. */
    private static final class Script {
        private final StringBuilder steps = new StringBuilder();
        private String lastChange = "";
        private int count;

        /** The condition that the previous change has ended and this much time has passed since. */
        private String afterLastChange(double ms) {
            return lastChange.isEmpty()
                    ? "{'atMs':" + (1000 + ms) + "}"
                    : "{'step':'" + lastChange + "','seen':{'node':'rig','line':{'what':'ended','step':'" + lastChange
                            + "'}},'afterMs':" + ms + "}";
        }

        private void addStep(String name, String condition, String action) {
            steps.append(steps.length() == 0 ? "" : ",")
                    .append("{'name':'")
                    .append(name)
                    .append("','when':")
                    .append(condition)
                    .append(',')
                    .append(action)
                    .append('}');
        }

        /** Adds the next change, which is proposed through a node once the condition holds. */
        private String addChange(String condition, int node, String settings) {
            lastChange = "p" + count++;
            addStep(lastChange, condition, "'do':'propose','nodes':['n" + node + "'],'settings':" + settings);
            return lastChange;
        }

        private String addChange(String condition, int node) {
            return addChange(
                    condition,
                    node,
                    "{'opTypes':{'orders':{'budgetMs':" + (1500 + 20 * (count % 10)) + "}},'sends':{'most':"
                            + (3 + count % 2) + "}}");
        }

        /**
         * The condition that a history line with these values follows a step, and that this much time has passed since.
         */
        private static String afterObservation(String step, String observer, String lineValues, double delayMs) {
            return "{'step':'" + step + "','seen':{'node':'" + observer + "','line':{" + lineValues + "}},'afterMs':"
                    + delayMs + "}";
        }

        /** Adds a restart of all nodes that are down, at a delay after a step. */
        private void addRestart(String step, double afterMs) {
            addStep(
                    "again" + count + "-" + step,
                    "{'step':'" + step + "','afterMs':" + afterMs + "}",
                    "'do':'start','nodes':['down']");
        }

        private String finish(double ms) {
            addStep("last", afterLastChange(ms), "'do':'heal'");
            return steps.toString();
        }
    }

    /** Time limits for a change during which no leader is lost. */
    static final PolicyRules.Bounds BOUNDS_WITHOUT_LEADER_LOSS = new PolicyRules.Bounds(
            TIMINGS.leaseMs(),
            TIMINGS.leaseExpiryBoundMs() + 2 * TIMINGS.pollIntervalMs(),
            TIMINGS.voteTimeoutMs() + 2 * TIMINGS.leaseExpiryBoundMs());

    /** Checks that apply to one drill only, besides those that all drills make. */
    private interface Expectations {
        void checkResults(Findings findings, List<Line> lines, PolicyRules rules);
    }

    private final String name;
    private final String summary;
    private final double durationMs;
    private final String nodeOverrides;
    private final String steps;
    private final int minChanges;
    private final double minServedRatio;
    private final PolicyRules.Bounds bounds;
    private final Expectations expectations;

    private PolicyDrill(
            String name,
            String summary,
            double durationMs,
            String nodeOverrides,
            String steps,
            int minChanges,
            double minServedRatio,
            double extraOverlapMs,
            Expectations expectations) {
        this.name = name;
        this.summary = summary;
        this.durationMs = durationMs;
        this.nodeOverrides = nodeOverrides;
        this.steps = steps;
        this.minChanges = minChanges;
        this.minServedRatio = minServedRatio;
        // If the leader is lost between the decision and the end of a change, its successor waits the full time again.
        this.bounds = new PolicyRules.Bounds(
                TIMINGS.leaseMs(),
                2 * (TIMINGS.leaseExpiryBoundMs() + TIMINGS.pollIntervalMs()) + LEADER_CHANGE_BOUND_MS + extraOverlapMs,
                TIMINGS.voteTimeoutMs() + 2 * TIMINGS.leaseExpiryBoundMs() + 2 * LEADER_CHANGE_BOUND_MS);
        this.expectations = expectations;
    }

    static List<Drill> all() {
        return List.of(
                killDrill(),
                stallDrill(),
                cutDrill(),
                oneWayDrill(),
                majorityLostDrill(),
                rejoinDrill(),
                rejectionDrill(),
                diskDrill(),
                new ConfigPushDrill());
    }

    // ---- The drills ----

    /** Crashes a process at each crash point once. */
    private static PolicyDrill killDrill() {
        Script script = new Script();
        List<String> points = CrashPoint.allNames();
        for (int i = 0; i < points.size(); i++) {
            String point = points.get(i);
            String activity = point.replaceAll("^(before|after) [a-z]+ ", "");
            String armed = "c" + i;
            boolean isElection = activity.matches("PRE-VOTE.*|VOTE ASKED|TERM") || point.contains("sending VOTE");
            boolean isBootstrap = activity.matches("SELF|GROUP");
            boolean isOnFollower =
                    activity.matches("ELSEWHERE|ENTRIES TAKEN|ENTRIES REFUSED|SNAPSHOT TAKEN") || isElection;
            boolean isOnOrdinaryNode = activity.equals("ASK")
                    || activity.equals("RULING")
                    || activity.equals("VOTE") && point.contains("becoming");
            String target = isOnOrdinaryNode ? "['n" + (3 + i % 6) + "']" : isOnFollower ? "['follower']" : "[]";
            if (isBootstrap
                    || activity.equals("ANEW")
                    || activity.startsWith("SNAPSHOT")
                    || activity.equals("ENTRIES REFUSED")) {
                // These points are reached only when a member starts: see policy-disk.
                continue;
            }
            script.addStep(
                    armed, script.afterLastChange(1200), "'do':'crash','nodes':" + target + ",'point':'" + point + "'");
            if (isElection) {
                script.addStep("lead" + i, "{'step':'" + armed + "','afterMs':300}", "'do':'kill','nodes':['leader']");
            }
            String change = script.addChange(
                    "{'step':'" + armed + "','afterMs':" + (isElection ? 400 : 300) + "}",
                    3 + i % 6,
                    activity.equals("REFUSED") ? "{'opTypes':{'orders':{'budgetMs':9000}}}" : usualSettings(i));
            if (activity.equals("ABORTED")) {
                script.addStep(
                        "abort" + i,
                        Script.afterObservation(change, "rig", "'what':'proposed','step':'" + change + "'", 0),
                        "'do':'abort','nodes':['n3'],'number':-1");
            }
            script.addStep(
                    "r" + i,
                    Script.afterObservation(armed, "rig", "'what':'killed'", 200),
                    "'do':'start','nodes':['down']");
            script.addStep(
                    "s" + i,
                    Script.afterObservation("r" + i, "rig", "'what':'killed'", 200),
                    "'do':'start','nodes':['down']");
        }
        return new PolicyDrill(
                "policy-kill",
                "a process crashes once at each crash point of the policy code, and is restarted",
                1_500_000,
                "{}",
                script.finish(4000),
                DEFAULT_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    TreeSet<String> missed = new TreeSet<>(points);
                    Map<String, String> armed = new TreeMap<>();
                    for (Line line : lines) {
                        if (line.node() < 0 && line.event().equals("armed")) {
                            armed.put(
                                    line.tree().path("on").asText(),
                                    line.tree().get("point").asText());
                        } else if (line.node() < 0 && line.event().equals("killed")) {
                            line.tree()
                                    .get("nodes")
                                    .forEach(node -> missed.remove(armed.getOrDefault(node.asText(), "")));
                        }
                    }
                    findings.note("crash points", String.valueOf(points.size()));
                    findings.note("crash points at which no process crashed", missed.toString());
                });
    }

    private static String usualSettings(int i) {
        return "{'opTypes':{'orders':{'budgetMs':" + (1500 + 20 * (i % 10)) + "}},'sends':{'most':" + (3 + i % 2)
                + "}}";
    }

    /** Suspends processes beyond the end of their lease, at times that follow from the stages of the log. */
    private static PolicyDrill stallDrill() {
        Script script = new Script();
        String[] stages = {"PROPOSED", "DECIDED", "PROPOSED", "DECIDED"};
        String[] targets = {"['n4']", "['n5','n6']", "['leader']", "['follower','n7']"};
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            String change = script.addChange(script.afterLastChange(1500), 3 + i % 6);
            script.addStep(
                    "stop" + i,
                    Script.afterObservation(
                            change, "any", "'what':'log','stage':'" + stages[i % 4] + "','leading':true", 20 * (i % 5)),
                    "'do':'stop','nodes':" + targets[i / 2 % 4] + ",'lastsMs':" + (4000 + 500 * (i % 4)));
        }
        return new PolicyDrill(
                "policy-stall",
                "processes are suspended beyond their lease, before and after a decision, and resume with a full queue",
                900_000,
                "{}",
                script.finish(8000),
                DEFAULT_CHANGES,
                0.99,
                10_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill cutDrill() {
        Script script = new Script();
        String[] targets = {"['leader','n3','n4']", "['n5','n6']", "['follower','n8']", "['leader']"};
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            String change = script.addChange(script.afterLastChange(2500), 3 + i % 6);
            script.addStep(
                    "cut" + i,
                    i % 2 == 0
                            ? "{'step':'" + change + "','afterMs':" + 15 * i + "}"
                            : Script.afterObservation(
                                    change, "any", "'what':'log','stage':'DECIDED','leading':true", 10 * i),
                    "'do':'cut','nodes':" + targets[i % 4] + ",'lastsMs':" + (5000 + 300 * i));
        }
        return new PolicyDrill(
                "policy-cut",
                "the leader, with clients on its side, or other nodes are cut off before and after a decision",
                900_000,
                "{}",
                script.finish(12_000),
                DEFAULT_CHANGES,
                0.99,
                16_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill oneWayDrill() {
        Script script = new Script();
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            String change = script.addChange(script.afterLastChange(2500), 3 + i % 6);
            String farNodes = i % 2 == 0 ? "['n1','n2','n3','n4']" : "['n0','n2','n5','n6']";
            script.addStep(
                    "way" + i,
                    i % 3 == 0
                            ? "{'step':'" + change + "','afterMs':" + 15 * i + "}"
                            : Script.afterObservation(
                                    change, "any", "'what':'log','stage':'DECIDED','leading':true", 0),
                    i % 4 < 2
                            ? "'do':'one-way','nodes':['leader'],'others':" + farNodes + ",'lastsMs':"
                                    + (4000 + 200 * i)
                            : "'do':'one-way','nodes':" + farNodes + ",'others':['leader'],'lastsMs':"
                                    + (4000 + 200 * i));
            script.addStep(
                    "late" + i,
                    "{'step':'" + change + "','afterMs':100}",
                    "'do':'link','nodes':['n7','n8'],'others':['n0','n1','n2'],"
                            + "'twice':0.5,'jitterMs':400,'loss':0.1,'lastsMs':3000");
        }
        return new PolicyDrill(
                "policy-oneway",
                "the leader reaches one half of the nodes and hears the other; messages are late, doubled, reordered",
                900_000,
                "{}",
                script.finish(12_000),
                DEFAULT_CHANGES,
                0.99,
                16_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill majorityLostDrill() {
        Script script = new Script();
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            String change = script.addChange(script.afterLastChange(3500), 3 + i % 6);
            String lost = "lost" + i;
            script.addStep(
                    lost,
                    i % 2 == 0
                            ? "{'step':'" + change + "','afterMs':" + 40 * i + "}"
                            : Script.afterObservation(
                                    change, "any", "'what':'log','stage':'DECIDED','leading':true", 10 * i),
                    "'do':'kill','nodes':['n" + i % 3 + "','n" + (i + 1) % 3 + "']");
            script.addRestart(lost, 6000);
        }
        return new PolicyDrill(
                "policy-majority-lost",
                "two of the three voters are killed for 6 s in the middle of each change",
                1_200_000,
                "{}",
                script.finish(6000),
                DEFAULT_CHANGES,
                0.95,
                20_000,
                (findings, lines, rules) -> findings.checkAtLeast(
                        "nodes that served without contact to the voters",
                        4,
                        lines.stream()
                                .filter(line -> line.event().equals("policy")
                                        && line.tree().get("by").asText().endsWith("?"))
                                .map(Line::node)
                                .distinct()
                                .count()));
    }

    private static PolicyDrill rejoinDrill() {
        Script script = new Script();
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            if (i % 5 == 0) {
                script.addStep("down" + i, script.afterLastChange(2500), "'do':'kill','nodes':['n5','n6']");
            }
            String change = script.addChange(
                    i % 5 == 0 ? "{'step':'down" + i + "','afterMs':200}" : script.afterLastChange(1500), 3 + i % 2);
            if (i % 5 == 3) {
                // Three versions later both nodes restart while the majority is down; then the majority restarts.
                script.addStep("out" + i, script.afterLastChange(300), "'do':'kill','nodes':['n0','n1']");
                script.addStep("back" + i, "{'step':'out" + i + "','afterMs':500}", "'do':'start','nodes':['n5','n6']");
                script.addStep(
                        "whole" + i, "{'step':'out" + i + "','afterMs':13000}", "'do':'start','nodes':['n0','n1']");
                script.addChange("{'step':'whole" + i + "','afterMs':6000}", 3);
                i++;
            }
        }
        return new PolicyDrill(
                "policy-rejoin",
                "nodes that were down during three changes restart while the majority is down",
                1_200_000,
                "{}",
                script.finish(3000),
                DEFAULT_CHANGES,
                0.95,
                0,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill rejectionDrill() {
        Script script = new Script();
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            // After a concurrent pair of proposals the delay is longer, so that both of them have ended.
            String change = script.addChange(
                    script.afterLastChange(i % 4 == 2 ? 8000 : 1200),
                    3 + i % 6,
                    i % 2 == 0 ? "{'opTypes':{'orders':{'budgetMs':" + (3000 + 10 * i) + "}}}" : usualSettings(i));
            if (i % 4 == 1) {
                // A second operator proposes at the same moment; either proposal may be accepted first.
                script.addStep(
                        "second" + i,
                        "{'step':'" + change + "','afterMs':0}",
                        "'do':'propose','nodes':['n" + (4 + i % 5) + "'],'settings':"
                                + "{'opTypes':{'orders':{'budgetMs':1000}}}");
            }
        }
        return new PolicyDrill(
                "policy-no",
                "one node cannot apply every second version, and two operators propose at the same time",
                900_000,
                "{'n7':{'opTypes':{'orders':{'timeoutMs':2500}}}}",
                script.finish(4000),
                DEFAULT_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    List<JsonNode> ends = lines.stream()
                            .filter(line -> line.node() < 0 && line.event().equals("ended"))
                            .map(Line::tree)
                            .toList();
                    findings.checkEqual(
                            "proposals refused with the name of the refusing node",
                            10L,
                            ends.stream()
                                    .filter(end -> end.get("stage").asText().equals("REFUSED")
                                            && end.path("why").asText().startsWith("n7: "))
                                    .count());
                    findings.checkEqual(
                            "proposals rejected because another one was open",
                            5L,
                            ends.stream()
                                    .filter(end -> end.get("stage").asText().equals("NOT TAKEN")
                                            && end.path("why").asText().contains("is still open"))
                                    .count());
                });
    }

    /** Gives voters full disks, truncated or corrupt logs, no log, or the log of another node. */
    private static PolicyDrill diskDrill() {
        Script script = new Script();
        String[] faultKinds = {"full", "torn", "flipped", "lost", "swapped"};
        for (int i = 0; i < DEFAULT_CHANGES; i++) {
            String faultKind = faultKinds[i % faultKinds.length];
            int voter = i % 3;
            script.addStep("k" + i, script.afterLastChange(1500), "'do':'kill','nodes':['n" + voter + "']");
            script.addStep(
                    "h" + i,
                    "{'step':'k" + i + "','afterMs':100}",
                    "'do':'harm','nodes':['n" + voter + "'],'harm':'" + faultKind + "'");
            script.addStep(
                    "s" + i,
                    "{'step':'h" + i + "','afterMs':100}",
                    "'do':'start','nodes':['n" + voter + "']"
                            + (faultKind.equals("full") ? ",'disk':{'mostBytes':1}" : ""));
            script.addChange("{'step':'s" + i + "','afterMs':1500}", 3 + i % 6);
            script.addStep("m" + i, script.afterLastChange(300), "'do':'kill','nodes':['n" + voter + "']");
            script.addStep(
                    "u" + i,
                    "{'step':'m" + i + "','afterMs':100}",
                    "'do':'harm','nodes':['n" + voter + "'],'harm':'mended'");
            script.addStep("b" + i, "{'step':'u" + i + "','afterMs':100}", "'do':'start','nodes':['n" + voter + "']");
            script.addChange("{'step':'b" + i + "','afterMs':3500}", 3 + i % 6);
        }
        return new PolicyDrill(
                "policy-disk",
                "a voter's disk is full, or its log truncated, corrupt, lost or another node's, and then restored",
                1_500_000,
                "{}",
                script.finish(3000),
                2 * DEFAULT_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    Map<String, Integer> countsByReport = new TreeMap<>();
                    lines.stream()
                            .filter(line -> line.event().equals("decider"))
                            .forEach(line -> countsByReport.merge(
                                    line.tree().get("on").asBoolean()
                                            ? "decides"
                                            : line.tree()
                                                    .get("why")
                                                    .asText()
                                                    .replaceAll("^.*?: |[0-9]+", "")
                                                    .replaceAll("; .*|:.*", ""),
                                    1,
                                    Integer::sum));
                    findings.note("what voters reported at their starts", countsByReport.toString());
                    findings.checkAtLeast(
                            "starts at which a voter refused to vote",
                            12,
                            countsByReport.entrySet().stream()
                                    .filter(each -> !each.getKey().equals("decides"))
                                    .mapToInt(Map.Entry::getValue)
                                    .sum());
                });
    }

    // ---- Running a drill ----

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public String subsystem() {
        return "policy";
    }

    private ClusterPlan buildPlan(long seed) {
        return buildPlan(seed, name, durationMs, POLICY, nodeOverrides, steps);
    }

    static ClusterPlan buildPlan(
            long seed, String name, double durationMs, String policy, String nodeOverrides, String steps) {
        String text = ("{'seed':" + seed + ",'nodes':" + NODES + ",'seeds':2,'lastsMs':" + durationMs
                        + ",'ends':'last','peers':"
                        + (policy.isEmpty() ? "{}" : "{'policy':" + policy + "}") + ",'own':" + nodeOverrides
                        + ",'fleet':{'layout':{'shards':8,'cells':4,'reach':2},'kinds':{'std':{'cores':2,'workMs':2,'warmMs':1000,"
                        + "'tipMultiple':1000}},'servers':[{'kind':'std','count':8}]},"
                        + "'settings':{'opTypes':[{'name':'orders','budgetMs':2000,'timeoutMs':4000,'floor':0.9}]},"
                        + "'load':{'lagBoundMs':60000,'phases':[{'lastsMs':" + durationMs
                        + ",'rate':{'shape':'steady','perS':140}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':3},'clientMs':4000}]},"
                        + "'steps':[" + steps + "]}")
                .replace('\'', '"');
        return ClusterPlan.of(Document.parse(name, text.getBytes(StandardCharsets.UTF_8), "nodes"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ClusterPlan plan = buildPlan(seed);
        List<ClusterPlan.Step> faults = new ArrayList<>();
        double[] elapsedMs = new double[1];
        ObjectNode reportWithChanges = PeersDrill.runCluster(plan, outcome -> {
            List<Line> lines = outcome.history().inOrder();
            PolicyRules rules =
                    new PolicyHistoryChecker(NODES, List.of(0, 1, 2), bounds).check(lines, outcome.policyRecords());
            faults.addAll(extractFaults(outcome, lines));
            elapsedMs[0] = outcome.elapsedMs();
            checkResults(findings, outcome, lines, rules);
        });
        ObjectNode reportWithoutChanges = PeersDrill.runCluster(plan.withSteps(faults, elapsedMs[0]), outcome -> {});
        double servedWithoutChanges = PeersDrill.servedShare(reportWithoutChanges);
        findings.note(
                "share served whole with the same faults but no changes",
                String.format(Locale.ROOT, "%.4f", servedWithoutChanges));
        findings.checkAtLeast(
                "share served whole with changes",
                servedWithoutChanges * minServedRatio,
                PeersDrill.servedShare(reportWithChanges));
    }

    private void checkResults(Findings findings, ClusterHarness.Outcome outcome, List<Line> lines, PolicyRules rules) {
        findings.checkEqual(
                "steps that were not executed",
                "[]",
                outcome.unexecutedSteps().stream()
                        .filter(step -> !step.matches("[rs][0-9]+") || name.equals("policy-disk"))
                        .toList()
                        .toString());
        long ended = lines.stream()
                .filter(line -> line.node() < 0
                        && line.event().equals("ended")
                        && !line.tree().get("stage").asText().equals("UNKNOWN"))
                .count();
        findings.checkAtLeast("changes that ended", minChanges, ended);
        findings.checkAtLeast("versions that took effect", minChanges / 3, rules.versionsHeld() - 1);
        findings.checkAtLeast("multigets that were checked", 1000, rules.judged());
        findings.checkEqual(
                "breaches of the rules of policy", "{}", rules.counts().toString());
        rules.breaches().forEach(breach -> findings.note("example", breach.toString()));
        findings.checkAtMost(
                "longest overlap guarded between two versions, ms", bounds.overlapMs(), rules.longestOverlapMs());
        findings.checkAtMost(
                "longest time from proposal to end with a majority, ms", bounds.endsMs(), rules.longestProposalMs());
        findings.note("time from proposal to effect, median in ms", String.valueOf(medianProposalToHoldMs(lines)));
        expectations.checkResults(findings, lines, rules);
        outcome.rules()
                .verdicts()
                .forEach(verdict ->
                        findings.checkEqual("breaches of rule: " + verdict.rule().text, 0L, verdict.broken()));
    }

    private static long medianProposalToHoldMs(List<Line> lines) {
        Map<String, Long> proposedAtNs = new TreeMap<>();
        List<Long> durationsMs = new ArrayList<>();
        for (Line line : lines) {
            if (line.node() < 0 && line.event().equals("proposed")) {
                proposedAtNs.put(line.tree().get("step").asText(), line.ns());
            } else if (line.node() < 0
                    && line.event().equals("ended")
                    && line.tree().get("stage").asText().equals("HOLDS")) {
                durationsMs.add(
                        (line.ns() - proposedAtNs.get(line.tree().get("step").asText())) / 1_000_000);
            }
        }
        Collections.sort(durationsMs);
        return durationsMs.isEmpty() ? -1 : durationsMs.get(durationsMs.size() / 2);
    }

    /**
     * Extracts the faults of processes and links with their actual times. A crash at a crash point becomes a kill at
     * the time of the crash.
     */
    static List<ClusterPlan.Step> extractFaults(ClusterHarness.Outcome outcome, List<Line> lines) {
        List<ClusterPlan.Step> faults = new ArrayList<>();
        long beginNs = lines.stream()
                .filter(line -> line.node() < 0 && line.event().equals("begins"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
        for (ClusterPlan.Step step : outcome.executedSteps()) {
            if (!List.of("propose", "abort", "crash", "push", "kill", "harm").contains(step.action())) {
                faults.add(step);
            }
        }
        for (Line line : lines) {
            if (line.node() < 0 && line.event().equals("killed")) {
                List<Integer> nodes = new ArrayList<>();
                line.tree()
                        .get("nodes")
                        .forEach(
                                node -> nodes.add(Integer.parseInt(node.asText().substring(1))));
                faults.add(new ClusterPlan.Step(
                        "kill" + faults.size(),
                        new ClusterPlan.Trigger((line.ns() - beginNs) / 1e6, null, null, null, null, 1, null, 0),
                        "kill",
                        nodes,
                        List.of(),
                        0,
                        Document.JSON.createObjectNode()));
            }
        }
        return faults;
    }
}
