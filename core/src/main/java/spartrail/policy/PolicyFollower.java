package spartrail.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import spartrail.policy.PolicyLog.Entry;
import spartrail.policy.PolicyLog.Stage;

/**
 * What every node does: it asks again and again what holds, says whether it can apply what is proposed, and goes by what it was
 * told until its lease is over.
 *
 * <pre>
 *  it was told, by its latest answer     until its lease is over     after that
 *  n holds, nothing or a proposal open   n                           guarded: the stricter of n and the proposal
 *  n holds, n+1 is decided               guarded: the stricter       the same
 *  what it cannot go by holds, or will   guarded, as out of touch    the same
 *  nothing yet                           not ready                   after readyMs guarded by its own settings
 * </pre>
 *
 * <ol>
 * <li>A lease counts from when the node asked, by its own monotonic clock.
 * <li>What is older than what was heard last is not taken up.
 * <li>What a node goes by is a {@link PolicyLease}, which says itself when it is over: whoever decides looks at the clock first, so
 *     that a node that stood still finds out before its next decision, not after it.
 * </ol>
 */
public final class PolicyFollower {
    private static final int MOST_ASKED = 16;
    /** Danger: two nodes each of which takes the other one for the leader would have a third ask without pause. */
    private static final double SOONEST_MS = 100;

    private final String name;
    private final List<String> deciders;
    private final PolicyTimings times;
    private final RandomGenerator chance;
    private final double bornMs;
    private final Map<Long, Double> asked = new LinkedHashMap<>();
    private PolicySettings own;
    private PolicyResponse last;
    private double leaseMs;
    private double nextAskMs;
    private double askedMs = Double.NEGATIVE_INFINITY;
    private String whom = "";
    private boolean unanswered;
    private int turn;
    private PolicyLease ruling;
    private long vote;
    private String no = "";
    private String unfit = "";

    /** Begins with the node's own settings; {@code deciders} are who can say what holds. */
    public PolicyFollower(
            String name,
            List<String> deciders,
            PolicySettings own,
            PolicyTimings times,
            RandomGenerator chance,
            double nowMs) {
        this.name = name;
        this.deciders = deciders;
        this.turn = chance.nextInt(Math.max(1, deciders.size()));
        this.own = own;
        this.times = times;
        this.chance = chance;
        this.bornMs = nowMs;
        this.nextAskMs = nowMs;
    }

    /** The node's own settings are others now. */
    public void updateLocalSettings(PolicySettings changed) {
        own = changed;
        if (last != null) {
            rule();
        }
    }

    /** When it asks next, or begins to serve by itself. */
    public double nextPollAtMs() {
        return ruling == null ? Math.min(nextAskMs, bornMs + times.startupTimeoutMs()) : nextAskMs;
    }

    /** Something has changed, it is said: it asks then. */
    public void pollNoLaterThan(double atMs) {
        nextAskMs = Math.min(nextAskMs, atMs);
    }

    /** Who was asked does not lead, and says who does; or does not know, where that is empty. */
    public void onRedirect(String leader, double nowMs) {
        if (!leader.isEmpty() && !leader.equals(name)) {
            whom = leader;
            unanswered = false;
            pollNoLaterThan(Math.max(nowMs, askedMs + SOONEST_MS));
        }
    }

    /** To whom the latest question goes: whoever answered the one before, or was named; else the next of the deciding nodes. */
    public String pollTarget() {
        return whom;
    }

    private void choose() {
        for (int i = 0; i < deciders.size() && (unanswered || whom.isEmpty() || whom.equals(name)); i++) {
            whom = deciders.get(turn++ % deciders.size());
            unanswered = false;
        }
        unanswered = true;
    }

    /** The question that is due, or null. */
    public PolicyRequest pollIfDue(double nowMs) {
        if (ruling == null && nowMs - bornMs >= times.startupTimeoutMs()) {
            ruling = new PolicyLease("0?", own, true, Double.POSITIVE_INFINITY, null);
        }
        if (nowMs < nextAskMs) {
            return null;
        }
        choose();
        askedMs = nowMs;
        nextAskMs = nowMs + times.pollIntervalMs() * (0.9 + 0.2 * chance.nextDouble());
        long nonce = chance.nextLong();
        asked.put(nonce, nowMs);
        if (asked.size() > MOST_ASKED) {
            asked.remove(asked.keySet().iterator().next());
        }
        return new PolicyRequest(
                nonce,
                name,
                vote,
                no,
                ruling == null ? "" : ruling.activeAt(nowMs).label());
    }

    /** An answer has come. */
    public void onResponse(PolicyResponse told, double nowMs) {
        Double sinceMs = asked.remove(told.nonce());
        unanswered &= sinceMs == null;
        if (sinceMs == null || last != null && told.appliedIndex() < last.appliedIndex()) {
            return;
        }
        last = told;
        leaseMs = Math.max(leaseMs, sinceMs + times.leaseMs());
        rule();
        if (nowMs >= leaseMs) {
            pollNoLaterThan(nowMs);
        }
    }

    private void rule() {
        PolicySettings holds;
        try {
            holds = own.overriddenBy(PolicySettings.parse(last.active().settings()));
            unfit = "";
        } catch (IllegalArgumentException e) {
            // Its settings do not go with the version that holds: it takes no part until they do.
            lapse(last.active(), e);
            return;
        }
        boolean decided = last.pending() != null && last.pending().stage() == Stage.DECIDED;
        String named = Long.toString(last.active().number());
        PolicySettings guarded = holds;
        if (last.pending() != null) {
            try {
                guarded = holds.stricterOf(
                        own.overriddenBy(PolicySettings.parse(last.pending().settings())));
                named += "|" + last.pending().number();
            } catch (IllegalArgumentException e) {
                if (decided) {
                    // Danger: it was out of touch and nobody waited for its no; a lease on the version before alone
                    // would outlast that version.
                    lapse(last.pending(), e);
                    return;
                }
                // It says no, so that this will never hold.
                guarded = holds;
            }
        }
        PolicyLease after = new PolicyLease(named + "?", guarded, true, Double.POSITIVE_INFINITY, null);
        ruling = new PolicyLease(
                decided ? named : Long.toString(last.active().number()),
                decided ? guarded : holds,
                decided,
                leaseMs,
                after);
    }

    /** A version comes that it cannot go by: it is out of touch from now on, or, where it had nothing to go by yet, not ready. */
    private void lapse(Entry version, IllegalArgumentException why) {
        unfit = "cannot go by version " + version.number() + ": " + why.getMessage();
        while (ruling != null && ruling.successor() != null) {
            ruling = ruling.successor();
        }
    }

    /** The proposal that this node has yet to say whether it can apply it, or null. */
    public Entry proposalToCheck() {
        Entry open = last == null ? null : last.pending();
        return open == null || open.stage() != Stage.PROPOSED || vote == open.number() ? null : open;
    }

    /** The settings that a proposal would make of this node's own; an IllegalArgumentException where it cannot apply them. */
    public PolicySettings settingsWith(Entry proposal) {
        return own.overriddenBy(PolicySettings.parse(proposal.settings()));
    }

    /** It can apply the proposal, or not because of this. The next question, which says so, is due at once. */
    public void recordVote(long number, String because, double nowMs) {
        vote = number;
        no = because;
        pollNoLaterThan(nowMs);
    }

    /** By what this node decides; null while it is to decide nothing yet. */
    public PolicyLease lease() {
        return ruling;
    }

    /** Why it cannot go by the version that holds; empty if it can. */
    public String incompatibility() {
        return unfit;
    }

    /** What it was told last, or null. */
    public PolicyResponse lastResponse() {
        return last;
    }
}
