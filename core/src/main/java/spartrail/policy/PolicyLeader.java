package spartrail.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import spartrail.policy.PolicyVersion.Stage;

/**
 * The part of the leader: it collects the nodes' votes on the pending proposal, and chooses the next operation on it.
 *
 * <p>A poll is answered from a read of the log that a majority has confirmed after the poll was sent. A node that holds
 * a lease on the previous version alone therefore polled before {@code DECIDE} was applied here, and its lease has
 * expired {@link PolicyTimings#leaseExpiryBoundMs} later. {@code HOLD} needs no list of leases, which could be lost
 * with a leader; a new leader counts the bound from the start of its leadership.
 *
 * <ol>
 * <li>{@code DECIDE} is due only once every live node, and every node that may still hold a lease, has voted that it
 *     can apply the version; one objection refuses the proposal.
 * <li>{@code HOLD} is due only when {@code leaseExpiryBoundMs} have passed since this node, as the leader, learned of
 *     {@code DECIDE}.
 * </ol>
 */
public final class PolicyLeader {
    private static final int MAX_NODES = 1024;
    private static final int MAX_NAMED_NODES = 5;
    private static final long NO_INDEX = -1;

    private record Vote(long number, String objection) {}

    private final PolicyTimings times;
    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<String, Double> leaseEndsMs = new HashMap<>();
    private boolean isLeading;
    private long knownNumber;
    private Stage knownStage;
    private double knownSinceMs;
    private long requestedAtIndex;
    private double requestedAtMs;

    /** Starts without leadership. */
    public PolicyLeader(PolicyTimings times) {
        this.times = times;
    }

    /** Sets whether this node is the leader; a change discards all votes and lease ends. */
    public void setLeading(boolean leading) {
        if (leading != isLeading) {
            isLeading = leading;
            knownStage = null;
            votes.clear();
            leaseEndsMs.clear();
        }
    }

    /**
     * Records the vote that a poll carries, and the latest time at which the lease that the response grants can expire.
     */
    public void onRequest(PolicyRequest request, double nowMs) {
        boolean hasRoom = leaseEndsMs.containsKey(request.node()) || leaseEndsMs.size() < MAX_NODES;
        if (isLeading && hasRoom) {
            leaseEndsMs.put(request.node(), nowMs + times.leaseExpiryBoundMs());
            votes.put(request.node(), new Vote(request.votedNumber(), request.objection()));
        }
    }

    /** The operation that the leader has to append to the log now, or null. */
    public LogOperation nextOperation(PolicyLog log, Collection<String> liveNodes, double nowMs) {
        PolicyVersion pending = log.pending();
        if (!isLeading || pending == null) {
            knownStage = null;
            return null;
        }
        if (knownStage != pending.stage() || knownNumber != pending.number()) {
            knownStage = pending.stage();
            knownNumber = pending.number();
            knownSinceMs = nowMs;
            requestedAtIndex = NO_INDEX;
        }
        if (requestedAtIndex == log.lastAppliedIndex() && nowMs - requestedAtMs < times.pollIntervalMs()) {
            return null;
        }
        LogOperation operation = pending.stage() == Stage.DECIDED
                ? holdIfLeasesExpired(pending, nowMs)
                : decideOrRefuse(pending, liveNodes, nowMs);
        if (operation != null) {
            requestedAtIndex = log.lastAppliedIndex();
            requestedAtMs = nowMs;
        }
        return operation;
    }

    private LogOperation holdIfLeasesExpired(PolicyVersion pending, double nowMs) {
        if (nowMs - knownSinceMs < times.leaseExpiryBoundMs()) {
            return null;
        }
        return LogOperation.leaderOperation(LogOperation.Kind.HOLD, pending.number());
    }

    private LogOperation decideOrRefuse(PolicyVersion pending, Collection<String> liveNodes, double nowMs) {
        TreeSet<String> missing = new TreeSet<>(liveNodes);
        leaseEndsMs.forEach((node, endMs) -> {
            if (endMs > nowMs) {
                missing.add(node);
            }
        });
        for (String node : List.copyOf(missing)) {
            Vote vote = votes.get(node);
            if (vote == null || vote.number() != pending.number()) {
                continue;
            }
            if (!vote.objection().isEmpty()) {
                return refuse(pending, vote.objection(), node);
            }
            missing.remove(node);
        }
        // A new leader has not received a poll from each node yet; without this wait it would decide a version that
        // some nodes cannot apply.
        boolean hasLedLongEnough = nowMs - knownSinceMs >= times.pollIntervalMs();
        if (missing.isEmpty() && hasLedLongEnough) {
            return LogOperation.leaderOperation(LogOperation.Kind.DECIDE, pending.number());
        }
        if (nowMs - knownSinceMs < times.voteTimeoutMs()) {
            return null;
        }
        String reason = "said nothing in " + Math.round(times.voteTimeoutMs()) + " ms";
        return refuse(pending, reason, joinFirstNames(missing));
    }

    private static LogOperation refuse(PolicyVersion pending, String reason, String nodes) {
        return new LogOperation(LogOperation.Kind.REFUSE, pending.number(), reason, nodes, "");
    }

    private static String joinFirstNames(TreeSet<String> nodes) {
        return String.join(", ", new ArrayList<>(nodes).subList(0, Math.min(MAX_NAMED_NODES, nodes.size())));
    }
}
