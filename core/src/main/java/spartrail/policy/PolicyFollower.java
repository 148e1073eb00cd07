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
    private static final int MAX_PENDING_POLLS = 16;
    /** Danger: two nodes each of which takes the other one for the leader would have a third ask without pause. */
    private static final double MIN_POLL_INTERVAL_MS = 100;

    private final String node;
    private final List<String> voters;
    private final PolicyTimings times;
    private final RandomGenerator random;
    private final double startedAtMs;
    private final Map<Long, Double> pollTimesMs = new LinkedHashMap<>();
    private PolicySettings localSettings;
    private PolicyResponse lastResponse;
    private double leaseEndMs;
    private double nextPollAtMs;
    private double lastPollAtMs = Double.NEGATIVE_INFINITY;
    private String pollTarget = "";
    private boolean isTargetSilent;
    private int nextVoter;
    private PolicyLease lease;
    private long votedNumber;
    private String objection = "";
    private String incompatibility = "";

    /** Begins with the node's own settings; {@code voters} are who can say what holds. */
    public PolicyFollower(
            String node,
            List<String> voters,
            PolicySettings localSettings,
            PolicyTimings times,
            RandomGenerator random,
            double nowMs) {
        this.node = node;
        this.voters = voters;
        this.nextVoter = random.nextInt(Math.max(1, voters.size()));
        this.localSettings = localSettings;
        this.times = times;
        this.random = random;
        this.startedAtMs = nowMs;
        this.nextPollAtMs = nowMs;
    }

    /** The node's own settings are others now. */
    public void updateLocalSettings(PolicySettings changed) {
        localSettings = changed;
        if (lastResponse != null) {
            updateLease();
        }
    }

    /** When it asks next, or begins to serve by itself. */
    public double nextPollAtMs() {
        return lease == null ? Math.min(nextPollAtMs, startedAtMs + times.startupTimeoutMs()) : nextPollAtMs;
    }

    /** Something has changed, it is said: it asks then. */
    public void pollNoLaterThan(double atMs) {
        nextPollAtMs = Math.min(nextPollAtMs, atMs);
    }

    /** Who was asked does not lead, and says who does; or does not know, where that is empty. */
    public void onRedirect(String leader, double nowMs) {
        if (!leader.isEmpty() && !leader.equals(node)) {
            pollTarget = leader;
            isTargetSilent = false;
            pollNoLaterThan(Math.max(nowMs, lastPollAtMs + MIN_POLL_INTERVAL_MS));
        }
    }

    /** To whom the latest question goes: whoever answered the one before, or was named; else the next of the deciding nodes. */
    public String pollTarget() {
        return pollTarget;
    }

    private void choosePollTarget() {
        for (int i = 0; i < voters.size() && (isTargetSilent || pollTarget.isEmpty() || pollTarget.equals(node)); i++) {
            pollTarget = voters.get(nextVoter++ % voters.size());
            isTargetSilent = false;
        }
        isTargetSilent = true;
    }

    /** The question that is due, or null. */
    public PolicyRequest pollIfDue(double nowMs) {
        if (lease == null && nowMs - startedAtMs >= times.startupTimeoutMs()) {
            lease = new PolicyLease("0?", localSettings, true, Double.POSITIVE_INFINITY, null);
        }
        if (nowMs < nextPollAtMs) {
            return null;
        }
        choosePollTarget();
        lastPollAtMs = nowMs;
        nextPollAtMs = nowMs + times.pollIntervalMs() * (0.9 + 0.2 * random.nextDouble());
        long nonce = random.nextLong();
        pollTimesMs.put(nonce, nowMs);
        if (pollTimesMs.size() > MAX_PENDING_POLLS) {
            pollTimesMs.remove(pollTimesMs.keySet().iterator().next());
        }
        return new PolicyRequest(
                nonce,
                node,
                votedNumber,
                objection,
                lease == null ? "" : lease.activeAt(nowMs).label());
    }

    /** An answer has come. */
    public void onResponse(PolicyResponse told, double nowMs) {
        Double sinceMs = pollTimesMs.remove(told.nonce());
        isTargetSilent &= sinceMs == null;
        if (sinceMs == null || lastResponse != null && told.appliedIndex() < lastResponse.appliedIndex()) {
            return;
        }
        lastResponse = told;
        leaseEndMs = Math.max(leaseEndMs, sinceMs + times.leaseMs());
        updateLease();
        if (nowMs >= leaseEndMs) {
            pollNoLaterThan(nowMs);
        }
    }

    private void updateLease() {
        PolicySettings activeSettings;
        try {
            activeSettings = localSettings.overriddenBy(
                    PolicySettings.parse(lastResponse.active().settings()));
            incompatibility = "";
        } catch (IllegalArgumentException e) {
            // Its settings do not go with the version that holds: it takes no part until they do.
            endLease(lastResponse.active(), e);
            return;
        }
        boolean decided =
                lastResponse.pending() != null && lastResponse.pending().stage() == Stage.DECIDED;
        String named = Long.toString(lastResponse.active().number());
        PolicySettings jointSettings = activeSettings;
        if (lastResponse.pending() != null) {
            try {
                jointSettings = activeSettings.stricterOf(localSettings.overriddenBy(
                        PolicySettings.parse(lastResponse.pending().settings())));
                named += "|" + lastResponse.pending().number();
            } catch (IllegalArgumentException e) {
                if (decided) {
                    // Danger: it was out of touch and nobody waited for its no; a lease on the version before alone
                    // would outlast that version.
                    endLease(lastResponse.pending(), e);
                    return;
                }
                // It says no, so that this will never hold.
                jointSettings = activeSettings;
            }
        }
        PolicyLease after = new PolicyLease(named + "?", jointSettings, true, Double.POSITIVE_INFINITY, null);
        lease = new PolicyLease(
                decided ? named : Long.toString(lastResponse.active().number()),
                decided ? jointSettings : activeSettings,
                decided,
                leaseEndMs,
                after);
    }

    /** A version comes that it cannot go by: it is out of touch from now on, or, where it had nothing to go by yet, not ready. */
    private void endLease(Entry version, IllegalArgumentException why) {
        incompatibility = "cannot go by version " + version.number() + ": " + why.getMessage();
        while (lease != null && lease.successor() != null) {
            lease = lease.successor();
        }
    }

    /** The proposal that this node has yet to say whether it can apply it, or null. */
    public Entry proposalToCheck() {
        Entry open = lastResponse == null ? null : lastResponse.pending();
        return open == null || open.stage() != Stage.PROPOSED || votedNumber == open.number() ? null : open;
    }

    /** The settings that a proposal would make of this node's own; an IllegalArgumentException where it cannot apply them. */
    public PolicySettings settingsWith(Entry proposal) {
        return localSettings.overriddenBy(PolicySettings.parse(proposal.settings()));
    }

    /** It can apply the proposal, or not because of this. The next question, which says so, is due at once. */
    public void recordVote(long number, String because, double nowMs) {
        votedNumber = number;
        objection = because;
        pollNoLaterThan(nowMs);
    }

    /** By what this node decides; null while it is to decide nothing yet. */
    public PolicyLease lease() {
        return lease;
    }

    /** Why it cannot go by the version that holds; empty if it can. */
    public String incompatibility() {
        return incompatibility;
    }

    /** What it was told last, or null. */
    public PolicyResponse lastResponse() {
        return lastResponse;
    }
}
