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
 * Nine front nodes under load, three of which decide about policy, and change after change of it while processes are lost, stand
 * still or lose contact. What each multiget was decided by is judged from the nodes' records. The same faults at the same times
 * are played once more without a change, for what changes cost.
 */
final class PolicyDrill implements Drill {
    private static final int NODES = 9;
    private static final int USUAL_CHANGES = 20;
    private static final PolicyTimings TIMES = new PolicyTimings(3000, 500, 8000, 10_000, 0.02);
    /** The agreed log has another leader so soon, at the most, once one is lost: its patience, an election, another one. */
    private static final double LEADER_MS = 8000;

    private static final String POLICY =
            "{'deciders':['n0','n1','n2'],'leaseMs':3000,'askMs':500,'prepareMs':8000,'readyMs':10000}";

    /** The steps of a drill: names, conditions and deeds, one after the other. */
    private static final class Script {
        private final StringBuilder steps = new StringBuilder();
        private String last = "";
        private int count;

        /** The condition for what comes after the change before: its end, and so much later. */
        private String after(double ms) {
            return last.isEmpty()
                    ? "{'atMs':" + (1000 + ms) + "}"
                    : "{'step':'" + last + "','seen':{'node':'rig','line':{'what':'ended','step':'" + last
                            + "'}},'afterMs':" + ms + "}";
        }

        private void step(String name, String when, String deed) {
            steps.append(steps.length() == 0 ? "" : ",")
                    .append("{'name':'")
                    .append(name)
                    .append("','when':")
                    .append(when)
                    .append(',')
                    .append(deed)
                    .append('}');
        }

        /** The next change; when this holds, by way of this node. */
        private String change(String when, int via, String settings) {
            last = "p" + count++;
            step(last, when, "'do':'propose','nodes':['n" + via + "'],'settings':" + settings);
            return last;
        }

        private String change(String when, int via) {
            return change(
                    when,
                    via,
                    "{'opTypes':{'orders':{'budgetMs':" + (1500 + 20 * (count % 10)) + "}},'sends':{'most':"
                            + (3 + count % 2) + "}}");
        }

        /** A line of any node since that step. */
        private static String seen(String step, String node, String line, double afterMs) {
            return "{'step':'" + step + "','seen':{'node':'" + node + "','line':{" + line + "}},'afterMs':" + afterMs
                    + "}";
        }

        /** What is down starts again so long after that step. */
        private void again(String step, double afterMs) {
            step(
                    "again" + count + "-" + step,
                    "{'step':'" + step + "','afterMs':" + afterMs + "}",
                    "'do':'start','nodes':['down']");
        }

        private String end(double ms) {
            step("last", after(ms), "'do':'heal'");
            return steps.toString();
        }
    }

    /** What holds for a change where no leader is lost. */
    static final PolicyRules.Bounds USUAL_BOUNDS = new PolicyRules.Bounds(
            TIMES.leaseMs(),
            TIMES.leaseExpiryBoundMs() + 2 * TIMES.pollIntervalMs(),
            TIMES.voteTimeoutMs() + 2 * TIMES.leaseExpiryBoundMs());

    /** What a drill wants of what was seen, beside what all want. */
    private interface Wants {
        void judge(Findings findings, List<Line> lines, PolicyRules rules);
    }

    private final String name;
    private final String summary;
    private final double lastsMs;
    private final String own;
    private final String steps;
    private final int least;
    private final double goodput;
    private final PolicyRules.Bounds bounds;
    private final Wants wants;

    private PolicyDrill(
            String name,
            String summary,
            double lastsMs,
            String own,
            String steps,
            int least,
            double goodput,
            double outMs,
            Wants wants) {
        this.name = name;
        this.summary = summary;
        this.lastsMs = lastsMs;
        this.own = own;
        this.steps = steps;
        this.least = least;
        this.goodput = goodput;
        // A leader that is lost between the decision and its end makes its successor wait the whole time again.
        this.bounds = new PolicyRules.Bounds(
                TIMES.leaseMs(),
                2 * (TIMES.leaseExpiryBoundMs() + TIMES.pollIntervalMs()) + LEADER_MS + outMs,
                TIMES.voteTimeoutMs() + 2 * TIMES.leaseExpiryBoundMs() + 2 * LEADER_MS);
        this.wants = wants;
    }

    static List<Drill> all() {
        return List.of(kill(), stall(), cut(), oneWay(), majorityLost(), rejoin(), no(), disk(), new ConfigPushDrill());
    }

    // ---- The drills ----

    /** Every point at which a process may be lost, once each. */
    private static PolicyDrill kill() {
        Script script = new Script();
        List<String> points = CrashPoint.allNames();
        for (int i = 0; i < points.size(); i++) {
            String point = points.get(i);
            String called = point.replaceAll("^(before|after) [a-z]+ ", "");
            String armed = "c" + i;
            boolean election = called.matches("PRE-VOTE.*|VOTE ASKED|TERM") || point.contains("sending VOTE");
            boolean first = called.matches("SELF|GROUP");
            boolean follower = called.matches("ELSEWHERE|ENTRIES TAKEN|ENTRIES REFUSED|SNAPSHOT TAKEN") || election;
            boolean ordinary = called.equals("ASK")
                    || called.equals("RULING")
                    || called.equals("VOTE") && point.contains("becoming");
            String target = ordinary ? "['n" + (3 + i % 6) + "']" : follower ? "['follower']" : "[]";
            if (first || called.equals("ANEW") || called.startsWith("SNAPSHOT") || called.equals("ENTRIES REFUSED")) {
                // Reached at a member's start only: see policy-disk.
                continue;
            }
            script.step(armed, script.after(1200), "'do':'crash','nodes':" + target + ",'point':'" + point + "'");
            if (election) {
                script.step("lead" + i, "{'step':'" + armed + "','afterMs':300}", "'do':'kill','nodes':['leader']");
            }
            String change = script.change(
                    "{'step':'" + armed + "','afterMs':" + (election ? 400 : 300) + "}",
                    3 + i % 6,
                    called.equals("REFUSED") ? "{'opTypes':{'orders':{'budgetMs':9000}}}" : usual(i));
            if (called.equals("ABORTED")) {
                script.step(
                        "abort" + i,
                        Script.seen(change, "rig", "'what':'proposed','step':'" + change + "'", 0),
                        "'do':'abort','nodes':['n3'],'number':-1");
            }
            script.step("r" + i, Script.seen(armed, "rig", "'what':'killed'", 200), "'do':'start','nodes':['down']");
            script.step("s" + i, Script.seen("r" + i, "rig", "'what':'killed'", 200), "'do':'start','nodes':['down']");
        }
        return new PolicyDrill(
                "policy-kill",
                "a process is lost at each point of the code that matters, once, and started again",
                1_500_000,
                "{}",
                script.end(4000),
                USUAL_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    TreeSet<String> missed = new TreeSet<>(points);
                    Map<String, String> armed = new TreeMap<>();
                    for (Line line : lines) {
                        if (line.node() < 0 && line.what().equals("armed")) {
                            armed.put(
                                    line.tree().path("on").asText(),
                                    line.tree().get("point").asText());
                        } else if (line.node() < 0 && line.what().equals("killed")) {
                            line.tree()
                                    .get("nodes")
                                    .forEach(node -> missed.remove(armed.getOrDefault(node.asText(), "")));
                        }
                    }
                    findings.note("points", String.valueOf(points.size()));
                    findings.note("points that no process was lost at here", missed.toString());
                });
    }

    private static String usual(int i) {
        return "{'opTypes':{'orders':{'budgetMs':" + (1500 + 20 * (i % 10)) + "}},'sends':{'most':" + (3 + i % 2)
                + "}}";
    }

    /** Processes that stand still past the end of their lease, at a time that the log's own stages set. */
    private static PolicyDrill stall() {
        Script script = new Script();
        String[] stages = {"PROPOSED", "DECIDED", "PROPOSED", "DECIDED"};
        String[] whom = {"['n4']", "['n5','n6']", "['leader']", "['follower','n7']"};
        for (int i = 0; i < USUAL_CHANGES; i++) {
            String change = script.change(script.after(1500), 3 + i % 6);
            script.step(
                    "stop" + i,
                    Script.seen(
                            change, "any", "'what':'log','stage':'" + stages[i % 4] + "','leading':true", 20 * (i % 5)),
                    "'do':'stop','nodes':" + whom[i / 2 % 4] + ",'lastsMs':" + (4000 + 500 * (i % 4)));
        }
        return new PolicyDrill(
                "policy-stall",
                "processes stand still past their lease, before and after a decision, and wake with a full queue",
                900_000,
                "{}",
                script.end(8000),
                USUAL_CHANGES,
                0.99,
                10_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill cut() {
        Script script = new Script();
        String[] whom = {"['leader','n3','n4']", "['n5','n6']", "['follower','n8']", "['leader']"};
        for (int i = 0; i < USUAL_CHANGES; i++) {
            String change = script.change(script.after(2500), 3 + i % 6);
            script.step(
                    "cut" + i,
                    i % 2 == 0
                            ? "{'step':'" + change + "','afterMs':" + 15 * i + "}"
                            : Script.seen(change, "any", "'what':'log','stage':'DECIDED','leading':true", 10 * i),
                    "'do':'cut','nodes':" + whom[i % 4] + ",'lastsMs':" + (5000 + 300 * i));
        }
        return new PolicyDrill(
                "policy-cut",
                "the leader is cut off with clients on its side, or some others are, before and after a decision",
                900_000,
                "{}",
                script.end(12_000),
                USUAL_CHANGES,
                0.99,
                16_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill oneWay() {
        Script script = new Script();
        for (int i = 0; i < USUAL_CHANGES; i++) {
            String change = script.change(script.after(2500), 3 + i % 6);
            String far = i % 2 == 0 ? "['n1','n2','n3','n4']" : "['n0','n2','n5','n6']";
            script.step(
                    "way" + i,
                    i % 3 == 0
                            ? "{'step':'" + change + "','afterMs':" + 15 * i + "}"
                            : Script.seen(change, "any", "'what':'log','stage':'DECIDED','leading':true", 0),
                    i % 4 < 2
                            ? "'do':'one-way','nodes':['leader'],'others':" + far + ",'lastsMs':" + (4000 + 200 * i)
                            : "'do':'one-way','nodes':" + far + ",'others':['leader'],'lastsMs':" + (4000 + 200 * i));
            script.step(
                    "late" + i,
                    "{'step':'" + change + "','afterMs':100}",
                    "'do':'link','nodes':['n7','n8'],'others':['n0','n1','n2'],"
                            + "'twice':0.5,'jitterMs':400,'loss':0.1,'lastsMs':3000");
        }
        return new PolicyDrill(
                "policy-oneway",
                "the leader is heard by half and hears the other half; decisions come late, twice and mixed up",
                900_000,
                "{}",
                script.end(12_000),
                USUAL_CHANGES,
                0.99,
                16_000,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill majorityLost() {
        Script script = new Script();
        for (int i = 0; i < USUAL_CHANGES; i++) {
            String change = script.change(script.after(3500), 3 + i % 6);
            String lost = "lost" + i;
            script.step(
                    lost,
                    i % 2 == 0
                            ? "{'step':'" + change + "','afterMs':" + 40 * i + "}"
                            : Script.seen(change, "any", "'what':'log','stage':'DECIDED','leading':true", 10 * i),
                    "'do':'kill','nodes':['n" + i % 3 + "','n" + (i + 1) % 3 + "']");
            script.again(lost, 6000);
        }
        return new PolicyDrill(
                "policy-majority-lost",
                "two of the three that decide are killed in the middle of each change, for 6 s",
                1_200_000,
                "{}",
                script.end(6000),
                USUAL_CHANGES,
                0.95,
                20_000,
                (findings, lines, rules) -> findings.least(
                        "nodes that served out of touch",
                        4,
                        lines.stream()
                                .filter(line -> line.what().equals("policy")
                                        && line.tree().get("by").asText().endsWith("?"))
                                .map(Line::node)
                                .distinct()
                                .count()));
    }

    private static PolicyDrill rejoin() {
        Script script = new Script();
        for (int i = 0; i < USUAL_CHANGES; i++) {
            if (i % 5 == 0) {
                script.step("down" + i, script.after(2500), "'do':'kill','nodes':['n5','n6']");
            }
            String change = script.change(
                    i % 5 == 0 ? "{'step':'down" + i + "','afterMs':200}" : script.after(1500), 3 + i % 2);
            if (i % 5 == 3) {
                // Three versions later they come back while the majority is out, and it comes back after them.
                script.step("out" + i, script.after(300), "'do':'kill','nodes':['n0','n1']");
                script.step("back" + i, "{'step':'out" + i + "','afterMs':500}", "'do':'start','nodes':['n5','n6']");
                script.step("whole" + i, "{'step':'out" + i + "','afterMs':13000}", "'do':'start','nodes':['n0','n1']");
                script.change("{'step':'whole" + i + "','afterMs':6000}", 3);
                i++;
            }
        }
        return new PolicyDrill(
                "policy-rejoin",
                "nodes that were down during three changes come back while the majority is out",
                1_200_000,
                "{}",
                script.end(3000),
                USUAL_CHANGES,
                0.95,
                0,
                (findings, lines, rules) -> {});
    }

    private static PolicyDrill no() {
        Script script = new Script();
        for (int i = 0; i < USUAL_CHANGES; i++) {
            // Two that were proposed at once have both ended by then.
            String change = script.change(
                    script.after(i % 4 == 2 ? 8000 : 1200),
                    3 + i % 6,
                    i % 2 == 0 ? "{'opTypes':{'orders':{'budgetMs':" + (3000 + 10 * i) + "}}}" : usual(i));
            if (i % 4 == 1) {
                // A second operator at the same moment: either is taken first.
                script.step(
                        "second" + i,
                        "{'step':'" + change + "','afterMs':0}",
                        "'do':'propose','nodes':['n" + (4 + i % 5) + "'],'settings':"
                                + "{'opTypes':{'orders':{'budgetMs':1000}}}");
            }
        }
        return new PolicyDrill(
                "policy-no",
                "every other version cannot be applied by one node; two operators propose at once",
                900_000,
                "{'n7':{'opTypes':{'orders':{'timeoutMs':2500}}}}",
                script.end(4000),
                USUAL_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    List<JsonNode> ends = lines.stream()
                            .filter(line -> line.node() < 0 && line.what().equals("ended"))
                            .map(Line::tree)
                            .toList();
                    findings.equal(
                            "refused, with the name of the node that said no",
                            10L,
                            ends.stream()
                                    .filter(end -> end.get("stage").asText().equals("REFUSED")
                                            && end.path("why").asText().startsWith("n7: "))
                                    .count());
                    findings.equal(
                            "of two proposals at once, told of the other one",
                            5L,
                            ends.stream()
                                    .filter(end -> end.get("stage").asText().equals("NOT TAKEN")
                                            && end.path("why").asText().contains("is still open"))
                                    .count());
                });
    }

    /** Disks that are full, tails that are torn, sums that are wrong, folders that are gone or another node's. */
    private static PolicyDrill disk() {
        Script script = new Script();
        String[] harms = {"full", "torn", "flipped", "lost", "swapped"};
        for (int i = 0; i < USUAL_CHANGES; i++) {
            String harm = harms[i % harms.length];
            int decider = i % 3;
            script.step("k" + i, script.after(1500), "'do':'kill','nodes':['n" + decider + "']");
            script.step(
                    "h" + i,
                    "{'step':'k" + i + "','afterMs':100}",
                    "'do':'harm','nodes':['n" + decider + "'],'harm':'" + harm + "'");
            script.step(
                    "s" + i,
                    "{'step':'h" + i + "','afterMs':100}",
                    "'do':'start','nodes':['n" + decider + "']"
                            + (harm.equals("full") ? ",'disk':{'mostBytes':1}" : ""));
            script.change("{'step':'s" + i + "','afterMs':1500}", 3 + i % 6);
            script.step("m" + i, script.after(300), "'do':'kill','nodes':['n" + decider + "']");
            script.step(
                    "u" + i,
                    "{'step':'m" + i + "','afterMs':100}",
                    "'do':'harm','nodes':['n" + decider + "'],'harm':'mended'");
            script.step("b" + i, "{'step':'u" + i + "','afterMs':100}", "'do':'start','nodes':['n" + decider + "']");
            script.change("{'step':'b" + i + "','afterMs':3500}", 3 + i % 6);
        }
        return new PolicyDrill(
                "policy-disk",
                "a deciding node's disk is full, torn, flipped, lost or another node's, and then as it was",
                1_500_000,
                "{}",
                script.end(3000),
                2 * USUAL_CHANGES,
                0.99,
                0,
                (findings, lines, rules) -> {
                    Map<String, Integer> seen = new TreeMap<>();
                    lines.stream()
                            .filter(line -> line.what().equals("decider"))
                            .forEach(line -> seen.merge(
                                    line.tree().get("on").asBoolean()
                                            ? "decides"
                                            : line.tree()
                                                    .get("why")
                                                    .asText()
                                                    .replaceAll("^.*?: |[0-9]+", "")
                                                    .replaceAll("; .*|:.*", ""),
                                    1,
                                    Integer::sum));
                    findings.note("what deciding nodes said at their starts", seen.toString());
                    findings.least(
                            "starts that refused to vote",
                            12,
                            seen.entrySet().stream()
                                    .filter(each -> !each.getKey().equals("decides"))
                                    .mapToInt(Map.Entry::getValue)
                                    .sum());
                });
    }

    // ---- How they run ----

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public String about() {
        return "policy";
    }

    private ClusterPlan plan(long seed) {
        return plan(seed, name, lastsMs, POLICY, own, steps);
    }

    static ClusterPlan plan(long seed, String name, double lastsMs, String policy, String own, String steps) {
        String text = ("{'seed':" + seed + ",'nodes':" + NODES + ",'seeds':2,'lastsMs':" + lastsMs
                        + ",'ends':'last','peers':"
                        + (policy.isEmpty() ? "{}" : "{'policy':" + policy + "}") + ",'own':" + own
                        + ",'fleet':{'layout':{'shards':8,'cells':4,'reach':2},'kinds':{'std':{'cores':2,'workMs':2,'warmMs':1000,"
                        + "'tipMultiple':1000}},'servers':[{'kind':'std','count':8}]},"
                        + "'settings':{'opTypes':[{'name':'orders','budgetMs':2000,'timeoutMs':4000,'floor':0.9}]},"
                        + "'load':{'lagBoundMs':60000,'phases':[{'lastsMs':" + lastsMs
                        + ",'rate':{'shape':'steady','perS':140}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':3},'clientMs':4000}]},"
                        + "'steps':[" + steps + "]}")
                .replace('\'', '"');
        return ClusterPlan.of(Document.parse(name, text.getBytes(StandardCharsets.UTF_8), "nodes"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        ClusterPlan plan = plan(seed);
        List<ClusterPlan.Step> faults = new ArrayList<>();
        double[] lasted = new double[1];
        ObjectNode changing = PeersDrill.played(plan, outcome -> {
            List<Line> lines = outcome.history().inOrder();
            PolicyRules rules = new PolicyHistoryChecker(NODES, List.of(0, 1, 2), bounds).read(lines, outcome.taken());
            faults.addAll(faults(outcome, lines));
            lasted[0] = outcome.lastedMs();
            judge(findings, outcome, lines, rules);
        });
        ObjectNode still = PeersDrill.played(plan.with(faults, lasted[0]), outcome -> {});
        double without = PeersDrill.served(still);
        findings.note(
                "served whole of the same faults without a change, share", String.format(Locale.ROOT, "%.4f", without));
        findings.least("served whole, share", without * goodput, PeersDrill.served(changing));
    }

    private void judge(Findings findings, ClusterHarness.Outcome outcome, List<Line> lines, PolicyRules rules) {
        findings.equal(
                "steps that were not taken",
                "[]",
                outcome.notTaken().stream()
                        .filter(step -> !step.matches("[rs][0-9]+") || name.equals("policy-disk"))
                        .toList()
                        .toString());
        long ended = lines.stream()
                .filter(line -> line.node() < 0
                        && line.what().equals("ended")
                        && !line.tree().get("stage").asText().equals("UNKNOWN"))
                .count();
        findings.least("changes that ended", least, ended);
        findings.least("versions that took hold", least / 3, rules.versionsHeld() - 1);
        findings.least("multigets that were judged", 1000, rules.judged());
        findings.equal("rules of policy broken", "{}", rules.counts().toString());
        rules.breaches().forEach(breach -> findings.note("example", breach.toString()));
        findings.most("longest time guarded between two versions, ms", bounds.overlapMs(), rules.longestOverlapMs());
        findings.most("longest from proposal to end with a majority, ms", bounds.endsMs(), rules.longestProposalMs());
        findings.note("from proposal to hold where no leader was lost, median in ms", String.valueOf(median(lines)));
        wants.judge(findings, lines, rules);
        outcome.rules()
                .verdicts()
                .forEach(verdict -> findings.equal("broken: " + verdict.rule().text, 0L, verdict.broken()));
    }

    private static long median(List<Line> lines) {
        Map<String, Long> from = new TreeMap<>();
        List<Long> took = new ArrayList<>();
        for (Line line : lines) {
            if (line.node() < 0 && line.what().equals("proposed")) {
                from.put(line.tree().get("step").asText(), line.ns());
            } else if (line.node() < 0
                    && line.what().equals("ended")
                    && line.tree().get("stage").asText().equals("HOLDS")) {
                took.add((line.ns() - from.get(line.tree().get("step").asText())) / 1_000_000);
            }
        }
        Collections.sort(took);
        return took.isEmpty() ? -1 : took.get(took.size() / 2);
    }

    /** What was done to processes and links, at the times when it was; crashes at a point are kills there. */
    static List<ClusterPlan.Step> faults(ClusterHarness.Outcome outcome, List<Line> lines) {
        List<ClusterPlan.Step> faults = new ArrayList<>();
        long beginNs = lines.stream()
                .filter(line -> line.node() < 0 && line.what().equals("begins"))
                .mapToLong(Line::ns)
                .findFirst()
                .orElse(0);
        for (ClusterPlan.Step step : outcome.done()) {
            if (!List.of("propose", "abort", "crash", "push", "kill", "harm").contains(step.what())) {
                faults.add(step);
            }
        }
        for (Line line : lines) {
            if (line.node() < 0 && line.what().equals("killed")) {
                List<Integer> nodes = new ArrayList<>();
                line.tree()
                        .get("nodes")
                        .forEach(
                                node -> nodes.add(Integer.parseInt(node.asText().substring(1))));
                faults.add(new ClusterPlan.Step(
                        "kill" + faults.size(),
                        new ClusterPlan.When((line.ns() - beginNs) / 1e6, null, null, null, null, 1, null, 0),
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
