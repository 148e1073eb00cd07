package spartrail.lab.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What must hold of versions of policy, told by who looks on from outside: by what each multiget was decided, when, at which
 * node; which versions the log says took hold, were refused or aborted; and when a node could hear of the log at all. Letters
 * are those of {@code docs/design/policy.md}.
 */
public final class PolicyRules {
    /**
     * A multiget was taken and decided by this.
     *
     * @param ns the machine's monotonic clock
     * @param life of the node's process, from 0
     * @param by {@code 3}; guarded {@code 3|4}; out of touch {@code 3?} or {@code 3|4?}
     */
    public record MultigetDecision(long ns, int node, int life, String label) {
        /** It holds a lease, or says so. */
        boolean leased() {
            return !label.endsWith("?");
        }

        boolean guarded() {
            return !leased() || label.contains("|");
        }

        long base() {
            return Long.parseLong(label.replaceAll("[|?].*", ""));
        }

        /** The version that may come next, or -1. */
        long next() {
            return label.contains("|") ? Long.parseLong(label.replaceAll(".*\\||\\?", "")) : -1;
        }
    }

    /** What did not hold. */
    public record Breach(String rule, String what) {
        @Override
        public String toString() {
            return rule + ": " + what;
        }
    }

    /** Times bounds rest on, in milliseconds. */
    public record Bounds(double leaseMs, double overlapMs, double endsMs) {}

    private record Out(int node, long fromNs, long toNs) {}

    private record Proposal(long fromNs, long toNs) {}

    /** A process looks at its clock and then writes what it decided by: so late may the line's time be at the most. */
    private static final double SLACK_MS = 5;

    private static final int MOST_EXAMPLES = 3;

    private final Bounds bounds;
    private final List<Long> held = new ArrayList<>(List.of(0L));
    private final Map<Long, String> ended = new HashMap<>();
    private final List<Out> outs = new ArrayList<>();
    private final Map<String, Proposal> proposals = new TreeMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private double longestOverlapMs;
    private double longestProposalMs;
    private final Map<Integer, MultigetDecision> ruled = new HashMap<>();
    private final List<List<MultigetDecision>> transitions = new ArrayList<>();
    private long judged;

    public PolicyRules(Bounds bounds) {
        this.bounds = bounds;
    }

    /** The log says that this version took hold; told in any order and more than once. */
    public void onVersionHeld(long number) {
        if (!held.contains(number)) {
            held.add(number);
            held.sort(Comparator.naturalOrder());
        }
    }

    /** The log says that this proposal was refused or aborted. */
    public void onProposalRejected(long number, String stage) {
        ended.put(number, stage);
    }

    /** From then to then a node could not hear from anybody who can say what holds. */
    public void onUnreachable(int node, long fromNs, long toNs) {
        outs.add(new Out(node, fromNs, toNs));
    }

    /** A process of this node has just started: what it went by before is over. */
    public void onStart(int node) {
        ruled.remove(node);
    }

    /** A node says that it goes by this from now on, whether it has anything to decide or not. */
    public void onPolicyChange(int node, String by) {
        MultigetDecision now = new MultigetDecision(0, node, 0, by);
        if (by.isEmpty() || !now.leased()) {
            ruled.remove(node);
            return;
        }
        MultigetDecision before = ruled.put(node, now);
        if (before != null) {
            transitions.add(List.of(before, now));
        }
    }

    /** A proposal was taken then, and its end known then, while a majority was reachable throughout. */
    public void onProposalEnd(String name, long fromNs, long toNs) {
        proposals.put(name, new Proposal(fromNs, toNs));
    }

    /** Judges all multigets. */
    public void judge(List<MultigetDecision> multigets) {
        List<MultigetDecision> sorted = new ArrayList<>(multigets);
        sorted.sort(Comparator.comparingLong(MultigetDecision::ns));
        judged = sorted.size();
        order(sorted);
        for (List<MultigetDecision> each : transitions) {
            if (held.indexOf(each.get(1).base()) > held.indexOf(each.get(0).base()) + 1) {
                breach(
                        "(a) one order",
                        "n" + each.get(0).node() + " went from " + each.get(0).label() + " to "
                                + each.get(1).label() + " and skipped some");
            }
        }
        refused(sorted);
        instants(sorted);
        outOfTouch(sorted);
        for (Map.Entry<String, Proposal> each : proposals.entrySet()) {
            double tookMs = (each.getValue().toNs - each.getValue().fromNs) / 1e6;
            longestProposalMs = Math.max(longestProposalMs, tookMs);
            if (tookMs > bounds.endsMs()) {
                breach(
                        "(f) every proposal ends",
                        String.format(
                                Locale.ROOT, "%s after %.0f ms, at most %.0f", each.getKey(), tookMs, bounds.endsMs()));
            }
        }
    }

    private void order(List<MultigetDecision> sorted) {
        Map<Integer, MultigetDecision> last = new HashMap<>();
        for (MultigetDecision each : sorted) {
            if (!each.leased()) {
                // Out of touch it may miss versions; it may not go back, which the next leased one shows.
                continue;
            }
            MultigetDecision before = last.put(each.node(), each);
            if (!held.contains(each.base())) {
                breach("(a) one order", "n" + each.node() + " decided by " + each.label() + ", which never held");
            } else if (before != null && each.base() < before.base()) {
                breach("(a) one order", "n" + each.node() + " decided by " + each.label() + " after " + before.label());
            }
        }
    }

    private void refused(List<MultigetDecision> sorted) {
        for (MultigetDecision each : sorted) {
            if (ended.containsKey(each.base()) || each.leased() && ended.containsKey(each.next()) && each.next() >= 0) {
                breach(
                        "(b) refused is never",
                        "n" + each.node() + " decided by " + each.label() + ", of which one was " + ended);
            }
        }
    }

    /** At every instant there is one version that allows what every node that holds a lease decides. */
    private void instants(List<MultigetDecision> sorted) {
        Map<Long, long[]> alone = new TreeMap<>();
        Map<Long, long[]> between = new TreeMap<>();
        Map<Long, MultigetDecision> latest = new HashMap<>();
        for (MultigetDecision each : sorted) {
            if (!each.leased()) {
                continue;
            }
            long[] span = (each.guarded() ? between : alone)
                    .computeIfAbsent(
                            each.guarded() ? each.next() : each.base(), number -> new long[] {each.ns(), each.ns()});
            span[1] = Math.max(span[1], each.ns());
            if (!each.guarded()) {
                latest.put(each.base(), each);
            }
        }
        long before = -1;
        for (Map.Entry<Long, long[]> each : alone.entrySet()) {
            if (before >= 0 && alone.get(before)[1] > each.getValue()[0]) {
                breach(
                        "(c) one version at an instant",
                        String.format(
                                Locale.ROOT,
                                "n%d decided by %d for %.1f ms after somebody by %d",
                                latest.get(before).node(),
                                before,
                                (alone.get(before)[1] - each.getValue()[0]) / 1e6,
                                each.getKey()));
            }
            before = each.getKey();
        }
        for (Map.Entry<Long, long[]> each : between.entrySet()) {
            long next = each.getKey();
            long[] span = each.getValue();
            longestOverlapMs = Math.max(longestOverlapMs, (span[1] - span[0]) / 1e6);
            for (Map.Entry<Long, long[]> other : alone.entrySet()) {
                boolean allowed = other.getKey() == next || held.indexOf(other.getKey()) == held.indexOf(next) - 1;
                if (!allowed && other.getValue()[0] < span[1] && span[0] < other.getValue()[1]) {
                    breach(
                            "(c) one version at an instant",
                            "some decided between others and " + next + " while some decided by " + other.getKey());
                }
            }
        }
        if (longestOverlapMs > bounds.overlapMs()) {
            breach(
                    "(c) one version at an instant",
                    String.format(
                            Locale.ROOT,
                            "guarded between two versions for %.0f ms, at most %.0f",
                            longestOverlapMs,
                            bounds.overlapMs()));
        }
    }

    private void outOfTouch(List<MultigetDecision> sorted) {
        for (MultigetDecision each : sorted) {
            for (Out out : outs) {
                if (each.leased()
                        && out.node == each.node()
                        && each.ns() < out.toNs
                        && each.ns() > out.fromNs + 1e6 * (bounds.leaseMs() + SLACK_MS)) {
                    breach(
                            "(e) out of touch it stops",
                            String.format(
                                    Locale.ROOT,
                                    "n%d decided by %s %.0f ms after it could last hear",
                                    each.node(),
                                    each.label(),
                                    (each.ns() - out.fromNs) / 1e6));
                }
            }
        }
    }

    private void breach(String rule, String what) {
        if (counts.merge(rule, 1, Integer::sum) <= MOST_EXAMPLES) {
            breaches.add(new Breach(rule, what));
        }
    }

    /** A few of each rule. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** How often each rule was broken. */
    public Map<String, Integer> counts() {
        return counts;
    }

    /** The longest time in which somebody decided between two versions. */
    public double longestOverlapMs() {
        return longestOverlapMs;
    }

    /** The longest from a proposal to its end. */
    public double longestProposalMs() {
        return longestProposalMs;
    }

    public long judged() {
        return judged;
    }

    /** Versions that took hold, the nodes' own settings among them. */
    public int versionsHeld() {
        return held.size();
    }
}
