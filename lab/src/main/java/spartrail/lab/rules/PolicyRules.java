package spartrail.lab.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the rules of policy versions from outside: an observer reports which version decided each multiget, when and
 * at which node; which versions took effect, were refused or were aborted according to the log; and when a node could
 * reach the log at all. The letters of the rules are those of {@code docs/design/policy.md}.
 */
public final class PolicyRules {
    /**
     * A multiget that a node accepted, and the policy label under which it was decided.
     *
     * @param ns the machine's monotonic clock
     * @param life the number of the node's process, from 0
     * @param label {@code 3}; with joint settings {@code 3|4}; without a lease {@code 3?} or {@code 3|4?}
     */
    public record MultigetDecision(long ns, int node, int life, String label) {
        /** Whether the label claims a lease. */
        boolean hasLease() {
            return !label.endsWith("?");
        }

        boolean isJoint() {
            return !hasLease() || label.contains("|");
        }

        long baseVersion() {
            return Long.parseLong(label.replaceAll("[|?].*", ""));
        }

        /** The decided version that may take effect next, or -1. */
        long nextVersion() {
            return label.contains("|") ? Long.parseLong(label.replaceAll(".*\\||\\?", "")) : -1;
        }
    }

    /** A broken rule. */
    public record Breach(String rule, String description) {
        @Override
        public String toString() {
            return rule + ": " + description;
        }
    }

    /**
     * The time limits of the rules, in milliseconds.
     *
     * @param overlapMs how long nodes may use joint settings of the same two versions
     * @param endsMs how long a proposal may stay open
     */
    public record Bounds(double leaseMs, double overlapMs, double endsMs) {}

    private record Unreachable(int node, long fromNs, long toNs) {}

    private record ProposalSpan(long fromNs, long toNs) {}

    /**
     * A process reads the clock and then writes the record of its decision; the time in the record may be late by
     * this much.
     */
    private static final double SLACK_MS = 5;

    private static final int MAX_EXAMPLES = 3;

    private final Bounds bounds;
    private final List<Long> heldVersions = new ArrayList<>(List.of(0L));
    private final Map<Long, String> rejectedVersions = new HashMap<>();
    private final List<Unreachable> unreachablePeriods = new ArrayList<>();
    private final Map<String, ProposalSpan> proposals = new TreeMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private double longestOverlapMs;
    private double longestProposalMs;
    private final Map<Integer, MultigetDecision> lastLease = new HashMap<>();
    private final List<List<MultigetDecision>> transitions = new ArrayList<>();
    private long judgedMultigets;

    public PolicyRules(Bounds bounds) {
        this.bounds = bounds;
    }

    /** The log reports that this version took effect; calls may come in any order and more than once. */
    public void onVersionHeld(long number) {
        if (!heldVersions.contains(number)) {
            heldVersions.add(number);
            heldVersions.sort(Comparator.naturalOrder());
        }
    }

    /** The log reports that this proposal was refused or aborted. */
    public void onProposalRejected(long number, String stage) {
        rejectedVersions.put(number, stage);
    }

    /** During this time a node could reach no node that knows the active version. */
    public void onUnreachable(int node, long fromNs, long toNs) {
        unreachablePeriods.add(new Unreachable(node, fromNs, toNs));
    }

    /** A process of this node has started; the version that its predecessor used no longer counts. */
    public void onStart(int node) {
        lastLease.remove(node);
    }

    /** A node reports the policy label that it uses from now on, whether or not it has multigets to decide. */
    public void onPolicyChange(int node, String label) {
        MultigetDecision now = new MultigetDecision(0, node, 0, label);
        if (label.isEmpty() || !now.hasLease()) {
            lastLease.remove(node);
            return;
        }
        MultigetDecision before = lastLease.put(node, now);
        if (before != null) {
            transitions.add(List.of(before, now));
        }
    }

    /** A proposal was committed at {@code fromNs} and ended at {@code toNs}, with a majority reachable all the time. */
    public void onProposalEnd(String name, long fromNs, long toNs) {
        proposals.put(name, new ProposalSpan(fromNs, toNs));
    }

    /** Checks all rules against these multigets and the events reported so far. */
    public void judge(List<MultigetDecision> multigets) {
        List<MultigetDecision> sorted = new ArrayList<>(multigets);
        sorted.sort(Comparator.comparingLong(MultigetDecision::ns));
        judgedMultigets = sorted.size();
        checkOrder(sorted);
        for (List<MultigetDecision> transition : transitions) {
            if (heldVersions.indexOf(transition.get(1).baseVersion())
                    > heldVersions.indexOf(transition.get(0).baseVersion()) + 1) {
                breach(
                        "(a) one order",
                        "n" + transition.get(0).node() + " went from "
                                + transition.get(0).label() + " to "
                                + transition.get(1).label() + " and skipped a version");
            }
        }
        checkRejected(sorted);
        checkOneVersionAtATime(sorted);
        checkUnreachable(sorted);
        for (Map.Entry<String, ProposalSpan> each : proposals.entrySet()) {
            double tookMs = (each.getValue().toNs - each.getValue().fromNs) / 1e6;
            longestProposalMs = Math.max(longestProposalMs, tookMs);
            if (tookMs > bounds.endsMs()) {
                breach(
                        "(f) every proposal ends",
                        String.format(
                                Locale.ROOT,
                                "%s ended after %.0f ms, expected at most %.0f ms",
                                each.getKey(),
                                tookMs,
                                bounds.endsMs()));
            }
        }
    }

    private void checkOrder(List<MultigetDecision> sorted) {
        Map<Integer, MultigetDecision> last = new HashMap<>();
        for (MultigetDecision decision : sorted) {
            if (!decision.hasLease()) {
                // Without a lease a node may miss versions, but must not go back; its next decision under a lease
                // shows whether it did.
                continue;
            }
            MultigetDecision before = last.put(decision.node(), decision);
            if (!heldVersions.contains(decision.baseVersion())) {
                breach(
                        "(a) one order",
                        "n" + decision.node() + " decided by " + decision.label() + ", which never held");
            } else if (before != null && decision.baseVersion() < before.baseVersion()) {
                breach(
                        "(a) one order",
                        "n" + decision.node() + " decided by " + decision.label() + " after " + before.label());
            }
        }
    }

    private void checkRejected(List<MultigetDecision> sorted) {
        for (MultigetDecision decision : sorted) {
            if (rejectedVersions.containsKey(decision.baseVersion())
                    || decision.hasLease()
                            && rejectedVersions.containsKey(decision.nextVersion())
                            && decision.nextVersion() >= 0) {
                breach(
                        "(b) refused is never",
                        "n" + decision.node() + " decided by " + decision.label() + ", which names a version of "
                                + rejectedVersions);
            }
        }
    }

    /** At every instant, one version permits the decisions of all nodes that hold a lease. */
    private void checkOneVersionAtATime(List<MultigetDecision> sorted) {
        Map<Long, long[]> single = new TreeMap<>();
        Map<Long, long[]> joint = new TreeMap<>();
        Map<Long, MultigetDecision> latest = new HashMap<>();
        for (MultigetDecision decision : sorted) {
            if (!decision.hasLease()) {
                continue;
            }
            long[] span = (decision.isJoint() ? joint : single)
                    .computeIfAbsent(decision.isJoint() ? decision.nextVersion() : decision.baseVersion(), number ->
                            new long[] {decision.ns(), decision.ns()});
            span[1] = Math.max(span[1], decision.ns());
            if (!decision.isJoint()) {
                latest.put(decision.baseVersion(), decision);
            }
        }
        long previous = -1;
        for (Map.Entry<Long, long[]> each : single.entrySet()) {
            if (previous >= 0 && single.get(previous)[1] > each.getValue()[0]) {
                breach(
                        "(c) one version at an instant",
                        String.format(
                                Locale.ROOT,
                                "n%d decided by %d until %.1f ms after another node by %d",
                                latest.get(previous).node(),
                                previous,
                                (single.get(previous)[1] - each.getValue()[0]) / 1e6,
                                each.getKey()));
            }
            previous = each.getKey();
        }
        for (Map.Entry<Long, long[]> each : joint.entrySet()) {
            long next = each.getKey();
            long[] span = each.getValue();
            longestOverlapMs = Math.max(longestOverlapMs, (span[1] - span[0]) / 1e6);
            for (Map.Entry<Long, long[]> other : single.entrySet()) {
                boolean isAllowed = other.getKey() == next
                        || heldVersions.indexOf(other.getKey()) == heldVersions.indexOf(next) - 1;
                if (!isAllowed && other.getValue()[0] < span[1] && span[0] < other.getValue()[1]) {
                    breach(
                            "(c) one version at an instant",
                            "some nodes decided by joint settings with " + next + " while others decided by "
                                    + other.getKey());
                }
            }
        }
        if (longestOverlapMs > bounds.overlapMs()) {
            breach(
                    "(c) one version at an instant",
                    String.format(
                            Locale.ROOT,
                            "joint settings of two versions for %.0f ms, expected at most %.0f ms",
                            longestOverlapMs,
                            bounds.overlapMs()));
        }
    }

    private void checkUnreachable(List<MultigetDecision> sorted) {
        for (MultigetDecision decision : sorted) {
            for (Unreachable period : unreachablePeriods) {
                if (decision.hasLease()
                        && period.node == decision.node()
                        && decision.ns() < period.toNs
                        && decision.ns() > period.fromNs + 1e6 * (bounds.leaseMs() + SLACK_MS)) {
                    breach(
                            "(e) out of touch it stops",
                            String.format(
                                    Locale.ROOT,
                                    "n%d decided by %s %.0f ms after it was last reachable",
                                    decision.node(),
                                    decision.label(),
                                    (decision.ns() - period.fromNs) / 1e6));
                }
            }
        }
    }

    private void breach(String rule, String description) {
        if (counts.merge(rule, 1, Integer::sum) <= MAX_EXAMPLES) {
            breaches.add(new Breach(rule, description));
        }
    }

    /** The first few breaches of each rule. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** The number of breaches of each broken rule. */
    public Map<String, Integer> counts() {
        return counts;
    }

    /** The longest time in which nodes decided by the joint settings of two versions. */
    public double longestOverlapMs() {
        return longestOverlapMs;
    }

    /** The longest time from a proposal to its end. */
    public double longestProposalMs() {
        return longestProposalMs;
    }

    public long judged() {
        return judgedMultigets;
    }

    /** The number of versions that took effect, including version 0, the nodes' local settings. */
    public int versionsHeld() {
        return heldVersions.size();
    }
}
