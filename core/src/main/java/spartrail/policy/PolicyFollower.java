package spartrail.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What every node does: it polls the leader for what is active, says whether it can apply what is proposed, and goes by the
 * response until its lease expires.
 *
 * <pre>
 *  latest response                        until the lease expires    after that
 *  n is active, nothing or a proposal     n                          joint: the stricter of n and the proposal
 *      pending
 *  n is active, n+1 is decided            joint: the stricter        the same
 *  a version that it cannot apply is      joint, as after expiry     the same
 *      active or decided
 *  nothing yet                            not ready                  after startupTimeoutMs its local settings, joint
 * </pre>
 *
 * <ol>
 * <li>A lease counts from when the node polled, by its own monotonic clock.
 * <li>A response that was overtaken by a later one is ignored.
 * <li>What a node goes by is a {@link PolicyLease}, which knows itself when it expires: whoever decides looks at the clock first,
 *     so that a paused process finds out before its next decision, not after it.
 * </ol>
 */
public final class PolicyFollower {
    private static final int MAX_PENDING_POLLS = 16;

    /** Polls are no closer together: two nodes that name each other the leader would make a third poll without pause. */
    private static final double MIN_POLL_INTERVAL_MS = 100;

    private static final double MIN_POLL_JITTER = 0.9;
    private static final double POLL_JITTER_RANGE = 0.2;

    /** Of a node that went by no version yet, and by none for certain now. */
    private static final String LOCAL_LABEL = "0?";

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

    /** Begins with the node's local settings; {@code voters} are the nodes of which one leads. */
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

    /** The node's local settings are others now. */
    public void updateLocalSettings(PolicySettings changed) {
        localSettings = changed;
        if (lastResponse != null) {
            updateLease();
        }
    }

    // ---- Polling ----

    /** When it polls next, or begins to serve by its local settings. */
    public double nextPollAtMs() {
        return lease == null ? Math.min(nextPollAtMs, startedAtMs + times.startupTimeoutMs()) : nextPollAtMs;
    }

    /** Something is said to have changed: polls then, if not sooner. */
    public void pollNoLaterThan(double atMs) {
        nextPollAtMs = Math.min(nextPollAtMs, atMs);
    }

    /** The poll's target does not lead, and names the leader; an empty name if it knows none. */
    public void onRedirect(String leader, double nowMs) {
        if (!leader.isEmpty() && !leader.equals(node)) {
            pollTarget = leader;
            isTargetSilent = false;
            pollNoLaterThan(Math.max(nowMs, lastPollAtMs + MIN_POLL_INTERVAL_MS));
        }
    }

    /** To whom the latest poll goes: the node that answered the one before, or that was named; else the next of the voters. */
    public String pollTarget() {
        return pollTarget;
    }

    private void choosePollTarget() {
        for (int i = 0; i < voters.size() && needsOtherTarget(); i++) {
            pollTarget = voters.get(nextVoter++ % voters.size());
            isTargetSilent = false;
        }
        isTargetSilent = true;
    }

    private boolean needsOtherTarget() {
        return isTargetSilent || pollTarget.isEmpty() || pollTarget.equals(node);
    }

    /** The poll that is due, or null. */
    public PolicyRequest pollIfDue(double nowMs) {
        if (lease == null && nowMs - startedAtMs >= times.startupTimeoutMs()) {
            lease = new PolicyLease(LOCAL_LABEL, localSettings, true, Double.POSITIVE_INFINITY, null);
        }
        if (nowMs < nextPollAtMs) {
            return null;
        }
        choosePollTarget();
        lastPollAtMs = nowMs;
        double jitter = MIN_POLL_JITTER + POLL_JITTER_RANGE * random.nextDouble();
        nextPollAtMs = nowMs + times.pollIntervalMs() * jitter;
        long nonce = random.nextLong();
        rememberPoll(nonce, nowMs);
        String activePolicy = lease == null ? "" : lease.activeAt(nowMs).label();
        return new PolicyRequest(nonce, node, votedNumber, objection, activePolicy);
    }

    private void rememberPoll(long nonce, double nowMs) {
        pollTimesMs.put(nonce, nowMs);
        if (pollTimesMs.size() > MAX_PENDING_POLLS) {
            pollTimesMs.remove(pollTimesMs.keySet().iterator().next());
        }
    }

    /** Takes up a response to a poll. */
    public void onResponse(PolicyResponse response, double nowMs) {
        Double polledAtMs = pollTimesMs.remove(response.nonce());
        if (polledAtMs == null) {
            return;
        }
        isTargetSilent = false;
        if (lastResponse != null && response.appliedIndex() < lastResponse.appliedIndex()) {
            return;
        }
        lastResponse = response;
        leaseEndMs = Math.max(leaseEndMs, polledAtMs + times.leaseMs());
        updateLease();
        if (nowMs >= leaseEndMs) {
            pollNoLaterThan(nowMs);
        }
    }

    // ---- The lease ----

    private void updateLease() {
        PolicyVersion active = lastResponse.active();
        PolicyVersion pending = lastResponse.pending();
        PolicySettings activeSettings;
        try {
            activeSettings = settingsWith(active);
            incompatibility = "";
        } catch (IllegalArgumentException e) {
            // The local settings do not go with the active version: this node takes no part until they do.
            endLease(active, e);
            return;
        }
        boolean isDecided = pending != null && pending.stage() == PolicyVersion.Stage.DECIDED;
        String activeLabel = Long.toString(active.number());
        String jointLabel = activeLabel;
        PolicySettings jointSettings = activeSettings;
        if (pending != null) {
            try {
                jointSettings = activeSettings.stricterOf(settingsWith(pending));
                jointLabel = activeLabel + "|" + pending.number();
            } catch (IllegalArgumentException e) {
                if (isDecided) {
                    // It was out of touch and nobody waited for its objection. A lease on the active version alone
                    // would outlast that version.
                    endLease(pending, e);
                    return;
                }
                // It objects to the proposal, which will therefore never be active.
            }
        }
        PolicyLease afterExpiry =
                new PolicyLease(jointLabel + "?", jointSettings, true, Double.POSITIVE_INFINITY, null);
        lease = isDecided
                ? new PolicyLease(jointLabel, jointSettings, true, leaseEndMs, afterExpiry)
                : new PolicyLease(activeLabel, activeSettings, false, leaseEndMs, afterExpiry);
    }

    /** A version comes that this node cannot apply: its lease is over, or, where it has none yet, it is not ready. */
    private void endLease(PolicyVersion version, IllegalArgumentException reason) {
        incompatibility = "cannot go by version " + version.number() + ": " + reason.getMessage();
        while (lease != null && lease.successor() != null) {
            lease = lease.successor();
        }
    }

    /** What this node goes by; null while it is to decide nothing yet. */
    public PolicyLease lease() {
        return lease;
    }

    /** Why it cannot apply the version that is active or decided; empty if it can. */
    public String incompatibility() {
        return incompatibility;
    }

    /** The latest response, or null. */
    public PolicyResponse lastResponse() {
        return lastResponse;
    }

    // ---- Voting ----

    /** The proposal that this node has yet to vote on, or null. */
    public PolicyVersion proposalToCheck() {
        PolicyVersion pending = lastResponse == null ? null : lastResponse.pending();
        if (pending == null || pending.stage() != PolicyVersion.Stage.PROPOSED || votedNumber == pending.number()) {
            return null;
        }
        return pending;
    }

    /** The settings that a version makes of the local ones; an IllegalArgumentException where this node cannot apply them. */
    public PolicySettings settingsWith(PolicyVersion version) {
        return localSettings.overriddenBy(PolicySettings.parse(version.settings()));
    }

    /** This node can apply the proposal, or not for a reason. The next poll, which says so, is due at once. */
    public void recordVote(long number, String reasonAgainst, double nowMs) {
        votedNumber = number;
        objection = reasonAgainst;
        pollNoLaterThan(nowMs);
    }
}
