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
 * Holds the six rules against what is seen of clients and servers. Called by several threads; what is over is forgotten
 * after a while, so its memory is bounded by the rate, not by the run.
 */
public final class RuleChecker implements LoadListener, FleetListener {
    /** The rules; the last one stands under the first of the six, and is told apart here. */
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

    /** How a rule fared: how often it was asked, how often it did not hold, and the first few breaches. */
    public record Verdict(Rule rule, long asked, long broken, List<String> examples) {}

    private static final class Tallied {
        private long asked;
        private long broken;
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

    private static final class Asked {
        private final String opType;
        private final Map<Integer, Double> weights = new HashMap<>();
        private final Map<Integer, List<Sent>> sends = new HashMap<>();
        private final double atMs;
        private double endedMs = Double.NaN;

        Asked(String opType, double atMs) {
            this.opType = opType;
            this.atMs = atMs;
        }
    }

    private record Standing(String state, double toldMs) {}

    private static final int MOST_EXAMPLES = 5;
    private static final double KEPT_MS = 20_000;
    private static final int MOST_KEPT = 400_000;
    /** Whatever can be told counts as told so long afterwards, whether the node asked or not. */
    private static final double DEEMED_MS = 6000;

    private static final double ROUNDING = 2e-3;

    private final RuleLimits terms;
    private final Map<Rule, Tallied> tallies = new LinkedHashMap<>();
    private final LinkedHashMap<String, Asked> asked = new LinkedHashMap<>();
    /** By node and server. */
    private final Map<String, Standing> told = new HashMap<>();

    private final Map<String, Standing> deemed = new HashMap<>();
    /** When a node was ended or stopped on purpose; an empty target stands for all. */
    private record Excuse(String target, double fromMs, double toMs) {
        boolean covers(String of, double askedMs, double endedMs) {
            return askedMs <= toMs && endedMs >= fromMs && (target.isEmpty() || target.equals(of));
        }
    }

    /** An answer that is missing and not excused so far. */
    private record Missed(String target, double atMs, double endedMs, String example) {}

    private static final int MOST_MISSED = 1000;

    private final List<Excuse> excused = new ArrayList<>();
    private final List<Missed> missed = new ArrayList<>();
    private final Deque<double[]> further = new ArrayDeque<>();
    private long furtherSum;
    private long takenSum;
    private long strayParts;
    private long lateParts;
    private double worstCold;

    public RuleChecker(RuleLimits terms) {
        this.terms = terms;
        for (Rule rule : Rule.values()) {
            tallies.put(rule, new Tallied());
        }
    }

    private void hold(Rule rule, boolean holds, String example) {
        Tallied tally = tallies.get(rule);
        tally.asked++;
        if (!holds) {
            tally.broken++;
            if (tally.examples.size() < MOST_EXAMPLES) {
                tally.examples.add(example);
            }
        }
    }

    /** Answers that are missing within this time are nobody's fault: a node was killed. */
    public synchronized void excuse(double fromMs, double toMs) {
        excuse("", fromMs, toMs);
    }

    /** The same for one node only, HOST:PORT. */
    public synchronized void excuse(String target, double fromMs, double toMs) {
        Excuse excuse = new Excuse(target, fromMs, toMs);
        excused.add(excuse);
        // A node that was lost by itself is known to be a moment later: what was missed meanwhile counts no more.
        Tallied tally = tallies.get(Rule.ONE_ANSWER);
        for (Missed each : List.copyOf(missed)) {
            if (excuse.covers(each.target, each.atMs, each.endedMs)) {
                missed.remove(each);
                tally.broken--;
                tally.examples.remove(each.example);
            }
        }
    }

    // ---- Clients ----

    @Override
    public synchronized void sent(ClientAttempt ask, double nowMs) {
        var arrival = ask.arrival;
        Asked one = new Asked(arrival.opType(), nowMs);
        for (int i = 0; i < arrival.shards().length; i++) {
            one.weights.put(arrival.shards()[i], arrival.weights()[i]);
        }
        asked.put(ask.id(), one);
        forget(nowMs);
        budget(nowMs, 1, 0);
    }

    private void forget(double nowMs) {
        Iterator<Asked> oldest = asked.values().iterator();
        while (oldest.hasNext()) {
            Asked one = oldest.next();
            boolean over = one.endedMs < nowMs - KEPT_MS || one.atMs < nowMs - 10 * KEPT_MS;
            if (!over && asked.size() <= MOST_KEPT) {
                return;
            }
            oldest.remove();
        }
    }

    @Override
    public synchronized void ended(ClientAttempt ask, AttemptResult kind, HttpResponse answer, double nowMs) {
        Asked one = asked.get(ask.id());
        if (one == null) {
            return;
        }
        one.endedMs = nowMs;
        String who = ask.id() + " (" + one.opType + ") ";
        if (kind != AttemptResult.LEFT) {
            boolean inTime = !kind.unanswered() || kind == AttemptResult.LATE && -ask.leftMs(nowMs) <= terms.slackMs();
            boolean isExcused =
                    !inTime && excused.stream().anyMatch(excuse -> excuse.covers(ask.target(), one.atMs, nowMs));
            if (!inTime && !isExcused && missed.size() < MOST_MISSED) {
                missed.add(new Missed(ask.target(), one.atMs, nowMs, who + "ended as " + kind));
            }
            hold(Rule.ONE_ANSWER, inTime || isExcused, who + "ended as " + kind);
        }
        RuleLimits.Op op = terms.opTypes().get(one.opType);
        if (op != null && answer != null && answer.status() == 200) {
            values(one, op, who, kind, answer);
        }
        if (op != null && kind == AttemptResult.PUSHED_BACK && op.repeat() == RuleLimits.Repeat.NON_RETRIABLE) {
            boolean ran = one.sends.values().stream().flatMap(List::stream).anyMatch(Sent::mayHaveRun);
            hold(Rule.NO_EFFECT_TWICE, !ran, who + "was pushed back though a part of it may have run");
        }
    }

    private void values(Asked one, RuleLimits.Op op, String who, AttemptResult kind, HttpResponse answer) {
        ResponseCheck.Body body = ResponseCheck.read(answer.body());
        boolean good = body != null && kind != AttemptResult.WRONG;
        if (good) {
            for (Integer shard : body.values().keySet()) {
                good &= one.sends.getOrDefault(shard, List.of()).stream()
                        .anyMatch(sent -> sent.end == ServerModel.End.OK);
            }
        }
        hold(Rule.VALUES, good, who + "holds a value that no server made for it");
        if (body == null) {
            return;
        }
        double weight = 0;
        for (Integer shard : body.values().keySet()) {
            weight += one.weights.getOrDefault(shard, 0.0);
        }
        boolean whole =
                op.need() < 1 ? weight >= op.need() - ROUNDING : body.values().size() >= one.weights.size();
        hold(
                Rule.LEAST_SHARE,
                weight >= Math.min(op.floor(), op.need()) - ROUNDING && (whole || !body.whole()),
                String.format(
                        Locale.ROOT,
                        "%swas answered with %.3f of its weight, least %.3f, %s",
                        who,
                        weight,
                        op.floor(),
                        body.whole() ? "called whole" : "called partial"));
    }

    @Override
    public synchronized void extra(double nowMs) {
        hold(Rule.ONE_ANSWER, false, "an answer that nobody was owed, or a second one");
    }

    // ---- Servers and roll ----

    @Override
    public synchronized void told(int node, String server, String state, double bornMs, double changedMs, double atMs) {
        String key = node + "/" + server;
        Standing before = told.get(key);
        if (before == null || !before.state().equals(state)) {
            told.put(key, new Standing(state, atMs));
        }
        if (state.equals("SERVING")) {
            deemed.remove(key);
        }
    }

    @Override
    public synchronized void changed(int node, String server, String state, double atMs) {
        if (state.equals("SERVING")) {
            deemed.remove(node + "/" + server);
        } else {
            deemed.putIfAbsent(node + "/" + server, new Standing(state, atMs + DEEMED_MS));
        }
    }

    @Override
    public synchronized void part(int node, String server, String partId, double atMs) {
        drained(node, server, partId, atMs);
        int dot = partId.lastIndexOf('.');
        Asked one = dot < 0 ? null : asked.get(partId.substring(0, dot));
        int shard = -1;
        try {
            shard = Integer.parseInt(partId.substring(dot + 1));
        } catch (NumberFormatException e) {
            // Counted as stray below.
        }
        if (one == null || !one.weights.containsKey(shard)) {
            strayParts++;
            return;
        }
        List<Sent> before = one.sends.computeIfAbsent(shard, number -> new ArrayList<>());
        if (!Double.isNaN(one.endedMs) && atMs > one.endedMs + terms.slackMs()) {
            lateParts++;
        }
        if (!before.isEmpty()) {
            again(one, partId, before, atMs);
            budget(atMs, 0, 1);
        }
        before.add(new Sent(node, server, atMs));
    }

    private void drained(int node, String server, String partId, double atMs) {
        Standing standing = told.get(node + "/" + server);
        double sinceMs =
                standing == null || standing.state().equals("SERVING") ? Double.POSITIVE_INFINITY : standing.toldMs();
        Standing must = deemed.get(node + "/" + server);
        sinceMs = must == null ? sinceMs : Math.min(sinceMs, must.toldMs());
        hold(
                Rule.DRAINED,
                atMs <= sinceMs + terms.graceMs() + terms.slackMs(),
                String.format(
                        Locale.ROOT,
                        "%s reached %s from node %d, %.0f ms after its end was told",
                        partId,
                        server,
                        node,
                        atMs - sinceMs));
    }

    private void again(Asked one, String partId, List<Sent> before, double atMs) {
        RuleLimits.Op op = terms.opTypes().get(one.opType);
        boolean out = before.stream().anyMatch(sent -> sent.end == null);
        if (op != null && op.repeat() == RuleLimits.Repeat.NON_RETRIABLE) {
            hold(
                    Rule.NO_EFFECT_TWICE,
                    before.stream().noneMatch(Sent::mayHaveRun),
                    partId + " was sent again though it may have run");
        } else if (op != null && op.repeat() == RuleLimits.Repeat.DEDUPED) {
            double firstMs = before.stream()
                    .filter(Sent::mayHaveRun)
                    .mapToDouble(sent -> sent.atMs)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
            hold(
                    Rule.NO_EFFECT_TWICE,
                    atMs <= firstMs + op.dedupMs() + terms.slackMs(),
                    String.format(
                            Locale.ROOT,
                            "%s was sent again %.0f ms after a send that may have run",
                            partId,
                            atMs - firstMs));
        }
        hold(
                Rule.BUDGET,
                before.size() < terms.mostSends() && (terms.parallel() || !out),
                partId + " was sent " + (before.size() + 1) + " times"
                        + (out && !terms.parallel() ? ", two of them at a time" : ""));
    }

    /** Multigets taken and further sends of the window that ends now. */
    private void budget(double atMs, int taken, int more) {
        if (!Double.isFinite(terms.furtherRatio())) {
            return;
        }
        further.add(new double[] {atMs, taken, more});
        takenSum += taken;
        furtherSum += more;
        while (further.peek()[0] < atMs - terms.furtherWindowMs()) {
            double[] gone = further.poll();
            takenSum -= (long) gone[1];
            furtherSum -= (long) gone[2];
        }
        if (more > 0) {
            hold(
                    Rule.BUDGET,
                    furtherSum <= terms.furtherLeast() + terms.furtherRatio() * takenSum,
                    furtherSum + " further sends for " + takenSum + " multigets within the window");
        }
    }

    @Override
    public synchronized void ended(int node, String server, String partId, ServerModel.End end, double atMs) {
        int dot = partId.lastIndexOf('.');
        Asked one = dot < 0 ? null : asked.get(partId.substring(0, dot));
        if (one == null) {
            return;
        }
        int shard;
        try {
            shard = Integer.parseInt(partId.substring(dot + 1));
        } catch (NumberFormatException e) {
            return;
        }
        for (Sent sent : one.sends.getOrDefault(shard, List.of())) {
            if (sent.end == null && sent.node == node && sent.server.equals(server)) {
                sent.end = end;
                return;
            }
        }
    }

    @Override
    public synchronized void fell(String server, double load, double atMs) {
        worstCold = Math.max(worstCold, load);
        hold(Rule.COLD, false, String.format(Locale.ROOT, "%s fell over, sent %.2f times what it bears", server, load));
    }

    /** How near cold servers came to falling, as the fleet's figures tell; asked once at the end. */
    public synchronized void recordColdLoad(double worst) {
        worstCold = Math.max(worstCold, worst);
        hold(Rule.COLD, true, "");
    }

    // ---- Verdicts ----

    public synchronized List<Verdict> verdicts() {
        List<Verdict> verdicts = new ArrayList<>();
        tallies.forEach((rule, tally) ->
                verdicts.add(new Verdict(rule, tally.asked, tally.broken, List.copyOf(tally.examples))));
        return verdicts;
    }

    public synchronized boolean isKept() {
        return tallies.values().stream().allMatch(tally -> tally.broken == 0);
    }

    public synchronized int held() {
        return asked.size();
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
                        "nearest to a fall %.3f of it; parts nobody asked for %d; parts after" + " their answer %d%n",
                        worstCold,
                        strayParts,
                        lateParts))
                .toString();
    }
}
