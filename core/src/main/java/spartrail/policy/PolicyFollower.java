package spartrail.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The part that every node has in policy versions: it polls the leader for the active version, votes on the pending
 * proposal, and applies the settings of the latest response until its lease expires.
 *
 * <pre>
 *  latest response                        until the lease expires    after that
 *  n is active, no proposal or one        n                          joint: the stricter of n and the proposal
 *      that is not decided is pending
 *  n is active, n+1 is decided            joint: the stricter        the same
 *  a version that the node cannot apply   joint, as after expiry     the same
 *      is active or decided
 *  no response yet                        not ready                  after startupTimeoutMs its local settings, joint
 * </pre>
 *
 * <ol>
 * <li>A lease starts at the time of the poll, by the node's own monotonic clock.
 * <li>A response with a lower applied index than one received before is ignored.
 * <li>The settings in force are held by a {@link PolicyLease} together with its expiry time. A caller checks the clock
 *     before each decision, so that a process that was paused notices the expiry before it decides again.
 * </ol>
 */
public final class PolicyFollower {
    private static final int MAX_PENDING_POLLS = 16;

    /** Two nodes that each name the other as the leader would otherwise make a third node poll without pause. */
    private static final double MIN_POLL_INTERVAL_MS = 100;

    private static final double MIN_POLL_JITTER = 0.9;
    private static final double POLL_JITTER_RANGE = 0.2;

    /** The label of a node that applies its local settings because no voter has answered since it started. */
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

    /** Starts with the node's local settings and no lease; {@code voters} are the nodes that elect the leader. */
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

    /** Replaces the node's local settings, and recomputes the lease if there has been a response. */
    public void updateLocalSettings(PolicySettings changed) {
        localSettings = changed;
        if (lastResponse != null) {
            updateLease();
        }
    }

    // ---- Polling ----

    /** The time of the next poll or, if that is sooner, of the startup timeout. */
    public double nextPollAtMs() {
        return lease == null ? Math.min(nextPollAtMs, startedAtMs + times.startupTimeoutMs()) : nextPollAtMs;
    }

    /** Brings the next poll forward to this time, unless it is due sooner. */
    public void pollNoLaterThan(double atMs) {
        nextPollAtMs = Math.min(nextPollAtMs, atMs);
    }

    /** The polled node is not the leader and names the node that is; the name is empty if it knows none. */
    public void onRedirect(String leader, double nowMs) {
        if (!leader.isEmpty() && !leader.equals(node)) {
            pollTarget = leader;
            isTargetSilent = false;
            pollNoLaterThan(Math.max(nowMs, lastPollAtMs + MIN_POLL_INTERVAL_MS));
        }
    }

    /** The latest poll's target: the node that answered last or was named as leader, else the next of the voters. */
    public String pollTarget() {
        return pollTarget;
    }

    private void choosePollTarget() {
        for (int i = 0; i < voters.size() && isTargetUnusable(); i++) {
            pollTarget = voters.get(nextVoter++ % voters.size());
            isTargetSilent = false;
        }
        isTargetSilent = true;
    }

    private boolean isTargetUnusable() {
        return isTargetSilent || pollTarget.isEmpty() || pollTarget.equals(node);
    }

    /** The poll that is due now, or null. */
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

    /** Extends the lease on a response to a poll; ignores an outdated response and one to an unknown poll. */
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
            // The active version does not fit the local settings: this node gets no lease until it does.
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
                    // This node was disconnected during the vote, so that its objection was not awaited. A lease on the
                    // active version alone would outlast that version.
                    endLease(pending, e);
                    return;
                }
                // This node objects to the proposal, which will therefore never become active.
            }
        }
        PolicyLease afterExpiry =
                new PolicyLease(jointLabel + "?", jointSettings, true, Double.POSITIVE_INFINITY, null);
        lease = isDecided
                ? new PolicyLease(jointLabel, jointSettings, true, leaseEndMs, afterExpiry)
                : new PolicyLease(activeLabel, activeSettings, false, leaseEndMs, afterExpiry);
    }

    /** Ends the lease, because this node cannot apply a version; a node that has no lease yet stays not ready. */
    private void endLease(PolicyVersion version, IllegalArgumentException reason) {
        incompatibility = "cannot apply version " + version.number() + ": " + reason.getMessage();
        while (lease != null && lease.successor() != null) {
            lease = lease.successor();
        }
    }

    /** The lease under which this node decides; null while it must not decide yet. */
    public PolicyLease lease() {
        return lease;
    }

    /** Why this node cannot apply the active or the decided version; empty if it can. */
    public String incompatibility() {
        return incompatibility;
    }

    /** The latest response, or null. */
    public PolicyResponse lastResponse() {
        return lastResponse;
    }

    // ---- Voting ----

    /** The proposal that this node has not voted on yet, or null. */
    public PolicyVersion proposalToCheck() {
        PolicyVersion pending = lastResponse == null ? null : lastResponse.pending();
        if (pending == null || pending.stage() != PolicyVersion.Stage.PROPOSED || votedNumber == pending.number()) {
            return null;
        }
        return pending;
    }

    /** The local settings overridden by a version; throws IllegalArgumentException if this node cannot apply it. */
    public PolicySettings settingsWith(PolicyVersion version) {
        return localSettings.overriddenBy(PolicySettings.parse(version.settings()));
    }

    /** Records the vote on a proposal, an empty reason being a yes. The next poll, which carries it, is due at once. */
    public void recordVote(long number, String reasonAgainst, double nowMs) {
        votedNumber = number;
        objection = reasonAgainst;
        pollNoLaterThan(nowMs);
    }
}
