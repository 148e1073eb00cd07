package spartrail.lab.rules;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spartrail.lab.fleet.FleetListener;
import spartrail.lab.fleet.ServerModel;
import spartrail.lab.load.AttemptResult;
import spartrail.lab.load.ClientAttempt;
import spartrail.lab.load.HttpResponse;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.ResponseCheck;

/**
 * Checks the six rules against the observed events of clients and servers. Thread-safe. Forgets finished multigets
 * after a retention time, so its memory is bounded by the request rate and not by the length of the run.
 */
public final class RuleChecker implements LoadListener, FleetListener {
    /** The rules. {@code VALUES} belongs to the first of the six and is counted separately. */
    public enum Rule {
        ONE_ANSWER("each multiget taken gets exactly one final answer in the client's time"),
        NO_EFFECT_TWICE("no effect twice"),
        DRAINED("nothing to a draining or gone server after the grace"),
        COLD("no cold server pushed over"),
        LEAST_SHARE("never under the least share, never called whole when not"),
        BUDGET("further sends within the budget"),
        VALUES("values are passed on unchanged, and only those that a server made");

        public final String text;

        Rule(String text) {
            this.text = text;
        }
    }

    /** The result of a rule: how often it was checked, how often it was broken, and the first few breaches. */
    public record Verdict(Rule rule, long asked, long broken, List<String> examples) {}

    private static final class Tally {
        private long checks;
        private long violations;
        private final List<String> examples = new ArrayList<>();
    }

    private static final class Sent {
        private final int node;
        private final String server;
        private final double atMs;
        private ServerModel.End end;

        Sent(int node, String server, double atMs) {
            this.node = node;
            this.server = server;
            this.atMs = atMs;
        }

        boolean mayHaveRun() {
            return end != ServerModel.End.REJECTED;
        }
    }

    private static final class TrackedMultiget {
        private final String opType;
        private final Map<Integer, Double> weights = new HashMap<>();
        private final Map<Integer, List<Sent>> sends = new HashMap<>();
        private final double atMs;
        private double endedMs = Double.NaN;

        TrackedMultiget(String opType, double atMs) {
            this.opType = opType;
            this.atMs = atMs;
        }
    }

    private record ServerState(String state, double knownSinceMs) {}

    private static final int MAX_EXAMPLES = 5;
    private static final double RETENTION_MS = 20_000;
    private static final int MAX_MULTIGETS = 400_000;
    /**
     * A state change counts as reported to a node after this time at the latest, whether the node has asked for it or
     * not.
     */
    private static final double MAX_REPORT_DELAY_MS = 6000;

    private static final double ROUNDING = 2e-3;

    private final RuleLimits limits;
    private final Map<Rule, Tally> tallies = new LinkedHashMap<>();
    private final LinkedHashMap<String, TrackedMultiget> multigets = new LinkedHashMap<>();
    /** The state of each server that discovery reported to a node, keyed by node and server. */
    private final Map<String, ServerState> reportedStates = new HashMap<>();

    /** The states that count as reported after {@code MAX_REPORT_DELAY_MS}, keyed by node and server. */
    private final Map<String, ServerState> assumedStates = new HashMap<>();
    /** A time in which a node was killed or stopped on purpose; an empty target means all nodes. */
    private record Excuse(String target, double fromMs, double toMs) {
        boolean covers(String node, double sentMs, double endedMs) {
            return sentMs <= toMs && endedMs >= fromMs && (target.isEmpty() || target.equals(node));
        }
    }

    /** A multiget without an answer that no excuse covers yet. */
    private record MissingAnswer(String target, double atMs, double endedMs, String example) {}

    private static final int MAX_MISSING_ANSWERS = 1000;

    private final List<Excuse> excuses = new ArrayList<>();
    private final List<MissingAnswer> missingAnswers = new ArrayList<>();
    private final Deque<double[]> budgetWindow = new ArrayDeque<>();
    private long resends;
    private long takenMultigets;
    private long strayParts;
    private long lateParts;
    private double worstColdLoad;

    public RuleChecker(RuleLimits limits) {
        this.limits = limits;
        for (Rule rule : Rule.values()) {
            tallies.put(rule, new Tally());
        }
    }

    private void check(Rule rule, boolean holds, String example) {
        Tally tally = tallies.get(rule);
        tally.checks++;
        if (!holds) {
            tally.violations++;
            if (tally.examples.size() < MAX_EXAMPLES) {
                tally.examples.add(example);
            }
        }
    }

    /** Excuses missing answers within this time at all nodes, since a node was killed. */
    public synchronized void excuse(double fromMs, double toMs) {
        excuse("", fromMs, toMs);
    }

    /** Excuses missing answers within this time at one node, given as HOST:PORT. */
    public synchronized void excuse(String target, double fromMs, double toMs) {
        Excuse excuse = new Excuse(target, fromMs, toMs);
        excuses.add(excuse);
        // The crash of a node is noticed with a delay: violations already counted in that time are taken back.
        Tally tally = tallies.get(Rule.ONE_ANSWER);
        for (MissingAnswer each : List.copyOf(missingAnswers)) {
            if (excuse.covers(each.target, each.atMs, each.endedMs)) {
                missingAnswers.remove(each);
                tally.violations--;
                tally.examples.remove(each.example);
            }
        }
    }

    // ---- Clients ----

    @Override
    public synchronized void onSent(ClientAttempt attempt, double nowMs) {
        var arrival = attempt.arrival;
        TrackedMultiget multiget = new TrackedMultiget(arrival.opType(), nowMs);
        for (int i = 0; i < arrival.shards().length; i++) {
            multiget.weights.put(arrival.shards()[i], arrival.weights()[i]);
        }
        multigets.put(attempt.id(), multiget);
        forgetOld(nowMs);
        checkBudget(nowMs, 1, 0);
    }

    private void forgetOld(double nowMs) {
        Iterator<TrackedMultiget> oldest = multigets.values().iterator();
        while (oldest.hasNext()) {
            TrackedMultiget multiget = oldest.next();
            boolean isOld = multiget.endedMs < nowMs - RETENTION_MS || multiget.atMs < nowMs - 10 * RETENTION_MS;
            if (!isOld && multigets.size() <= MAX_MULTIGETS) {
                return;
            }
            oldest.remove();
        }
    }

    @Override
    public synchronized void onEnded(ClientAttempt attempt, AttemptResult result, HttpResponse response, double nowMs) {
        TrackedMultiget multiget = multigets.get(attempt.id());
        if (multiget == null) {
            return;
        }
        multiget.endedMs = nowMs;
        String prefix = attempt.id() + " (" + multiget.opType + ") ";
        if (result != AttemptResult.LEFT) {
            boolean inTime = !result.isUnanswered()
                    || result == AttemptResult.LATE && -attempt.leftMs(nowMs) <= limits.slackMs();
            boolean isExcused = !inTime
                    && excuses.stream().anyMatch(excuse -> excuse.covers(attempt.target(), multiget.atMs, nowMs));
            if (!inTime && !isExcused && missingAnswers.size() < MAX_MISSING_ANSWERS) {
                missingAnswers.add(
                        new MissingAnswer(attempt.target(), multiget.atMs, nowMs, prefix + "ended as " + result));
            }
            check(Rule.ONE_ANSWER, inTime || isExcused, prefix + "ended as " + result);
        }
        RuleLimits.Op op = limits.opTypes().get(multiget.opType);
        if (op != null && response != null && response.status() == 200) {
            checkValues(multiget, op, prefix, result, response);
        }
        if (op != null && result == AttemptResult.PUSHED_BACK && op.repeat() == RuleLimits.Repeat.NON_RETRIABLE) {
            boolean ran = multiget.sends.values().stream().flatMap(List::stream).anyMatch(Sent::mayHaveRun);
            check(Rule.NO_EFFECT_TWICE, !ran, prefix + "was pushed back though a part of it may have run");
        }
    }

    private void checkValues(
            TrackedMultiget multiget, RuleLimits.Op op, String prefix, AttemptResult result, HttpResponse response) {
        ResponseCheck.Body body = ResponseCheck.read(response.body());
        boolean isGenuine = body != null && result != AttemptResult.WRONG;
        if (isGenuine) {
            for (Integer shard : body.values().keySet()) {
                isGenuine &= multiget.sends.getOrDefault(shard, List.of()).stream()
                        .anyMatch(sent -> sent.end == ServerModel.End.OK);
            }
        }
        check(Rule.VALUES, isGenuine, prefix + "contains a value that no server returned for it");
        if (body == null) {
            return;
        }
        double weight = 0;
        for (Integer shard : body.values().keySet()) {
            weight += multiget.weights.getOrDefault(shard, 0.0);
        }
        boolean isWhole =
                op.need() < 1 ? weight >= op.need() - ROUNDING : body.values().size() >= multiget.weights.size();
        check(
                Rule.LEAST_SHARE,
                weight >= Math.min(op.floor(), op.need()) - ROUNDING && (isWhole || !body.whole()),
                String.format(
                        Locale.ROOT,
                        "%swas answered with %.3f of its weight, expected at least %.3f, %s",
                        prefix,
                        weight,
                        op.floor(),
                        body.whole() ? "marked as complete" : "marked as partial"));
    }

    @Override
    public synchronized void onUnexpectedBytes(double nowMs) {
        check(Rule.ONE_ANSWER, false, "a response to an unknown or already answered request");
    }

    // ---- Servers and discovery ----

    @Override
    public synchronized void onStateWritten(
            int node, String server, String state, double bornMs, double changedMs, double atMs) {
        String key = node + "/" + server;
        ServerState before = reportedStates.get(key);
        if (before == null || !before.state().equals(state)) {
            reportedStates.put(key, new ServerState(state, atMs));
        }
        if (state.equals("SERVING")) {
            assumedStates.remove(key);
        }
    }

    @Override
    public synchronized void onStateChanged(int node, String server, String state, double atMs) {
        if (state.equals("SERVING")) {
            assumedStates.remove(node + "/" + server);
        } else {
            assumedStates.putIfAbsent(node + "/" + server, new ServerState(state, atMs + MAX_REPORT_DELAY_MS));
        }
    }

    @Override
    public synchronized void onPartReceived(int node, String server, String partId, double atMs) {
        checkDrained(node, server, partId, atMs);
        int dot = partId.lastIndexOf('.');
        TrackedMultiget multiget = dot < 0 ? null : multigets.get(partId.substring(0, dot));
        int shard = -1;
        try {
            shard = Integer.parseInt(partId.substring(dot + 1));
        } catch (NumberFormatException e) {
            // The part is counted as stray below.
        }
        if (multiget == null || !multiget.weights.containsKey(shard)) {
            strayParts++;
            return;
        }
        List<Sent> before = multiget.sends.computeIfAbsent(shard, number -> new ArrayList<>());
        if (!Double.isNaN(multiget.endedMs) && atMs > multiget.endedMs + limits.slackMs()) {
            lateParts++;
        }
        if (!before.isEmpty()) {
            checkResend(multiget, partId, before, atMs);
            checkBudget(atMs, 0, 1);
        }
        before.add(new Sent(node, server, atMs));
    }

    private void checkDrained(int node, String server, String partId, double atMs) {
        ServerState reported = reportedStates.get(node + "/" + server);
        double sinceMs = reported == null || reported.state().equals("SERVING")
                ? Double.POSITIVE_INFINITY
                : reported.knownSinceMs();
        ServerState assumed = assumedStates.get(node + "/" + server);
        sinceMs = assumed == null ? sinceMs : Math.min(sinceMs, assumed.knownSinceMs());
        check(
                Rule.DRAINED,
                atMs <= sinceMs + limits.graceMs() + limits.slackMs(),
                String.format(
                        Locale.ROOT,
                        "%s reached %s from node %d, %.0f ms after its drain or end was reported",
                        partId,
                        server,
                        node,
                        atMs - sinceMs));
    }

    private void checkResend(TrackedMultiget multiget, String partId, List<Sent> before, double atMs) {
        RuleLimits.Op op = limits.opTypes().get(multiget.opType);
        boolean isInFlight = before.stream().anyMatch(sent -> sent.end == null);
        if (op != null && op.repeat() == RuleLimits.Repeat.NON_RETRIABLE) {
            check(
                    Rule.NO_EFFECT_TWICE,
                    before.stream().noneMatch(Sent::mayHaveRun),
                    partId + " was sent again though it may have run");
        } else if (op != null && op.repeat() == RuleLimits.Repeat.DEDUPED) {
            double firstMs = before.stream()
                    .filter(Sent::mayHaveRun)
                    .mapToDouble(sent -> sent.atMs)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
            check(
                    Rule.NO_EFFECT_TWICE,
                    atMs <= firstMs + op.dedupMs() + limits.slackMs(),
                    String.format(
                            Locale.ROOT,
                            "%s was sent again %.0f ms after a send that may have run",
                            partId,
                            atMs - firstMs));
        }
        check(
                Rule.BUDGET,
                before.size() < limits.mostSends() && (limits.parallel() || !isInFlight),
                partId + " was sent " + (before.size() + 1) + " times"
                        + (isInFlight && !limits.parallel() ? ", two of them in flight at the same time" : ""));
    }

    /**
     * Adds multigets, retries and hedged requests to the window that ends now, and checks the budget if there are
     * retries or hedged requests.
     */
    private void checkBudget(double atMs, int multigetCount, int resendCount) {
        if (!Double.isFinite(limits.retryRatio())) {
            return;
        }
        budgetWindow.add(new double[] {atMs, multigetCount, resendCount});
        takenMultigets += multigetCount;
        resends += resendCount;
        while (budgetWindow.peek()[0] < atMs - limits.retryWindowMs()) {
            double[] expired = budgetWindow.poll();
            takenMultigets -= (long) expired[1];
            resends -= (long) expired[2];
        }
        if (resendCount > 0) {
            check(
                    Rule.BUDGET,
                    resends <= limits.minRetries() + limits.retryRatio() * takenMultigets,
                    resends + " retries and hedged requests for " + takenMultigets
                            + " multigets within the window, more than the budget");
        }
    }

    @Override
    public synchronized void onPartEnded(int node, String server, String partId, ServerModel.End end, double atMs) {
        int dot = partId.lastIndexOf('.');
        TrackedMultiget multiget = dot < 0 ? null : multigets.get(partId.substring(0, dot));
        if (multiget == null) {
            return;
        }
        int shard;
        try {
            shard = Integer.parseInt(partId.substring(dot + 1));
        } catch (NumberFormatException e) {
            return;
        }
        for (Sent sent : multiget.sends.getOrDefault(shard, List.of())) {
            if (sent.end == null && sent.node == node && sent.server.equals(server)) {
                sent.end = end;
                return;
            }
        }
    }

    @Override
    public synchronized void onServerCrashed(String server, double load, double atMs) {
        worstColdLoad = Math.max(worstColdLoad, load);
        check(Rule.COLD, false, String.format(Locale.ROOT, "%s fell over under %.2f times its capacity", server, load));
    }

    /**
     * Records the highest load of a cold server, relative to its capacity, as the fleet measured it; called once at
     * the end.
     */
    public synchronized void recordColdLoad(double worstLoad) {
        worstColdLoad = Math.max(worstColdLoad, worstLoad);
        check(Rule.COLD, true, "");
    }

    // ---- Verdicts ----

    public synchronized List<Verdict> verdicts() {
        List<Verdict> verdicts = new ArrayList<>();
        tallies.forEach((rule, tally) ->
                verdicts.add(new Verdict(rule, tally.checks, tally.violations, List.copyOf(tally.examples))));
        return verdicts;
    }

    public synchronized boolean isKept() {
        return tallies.values().stream().allMatch(tally -> tally.violations == 0);
    }

    public synchronized int trackedMultigets() {
        return multigets.size();
    }

    public synchronized String text() {
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT, "%-72s %9s %7s%n", "rule", "asked", "broken"));
        for (Verdict verdict : verdicts()) {
            out.append(String.format(
                    Locale.ROOT, "%-72s %9d %7d%n", verdict.rule().text, verdict.asked(), verdict.broken()));
            verdict.examples()
                    .forEach(example -> out.append("    ").append(example).append('\n'));
        }
        return out.append(String.format(
                        Locale.ROOT,
                        "highest cold load %.3f of capacity; %d parts of no multiget; %d parts after their answer%n",
                        worstColdLoad,
                        strayParts,
                        lateParts))
                .toString();
    }
}
