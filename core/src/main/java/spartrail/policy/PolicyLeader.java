package spartrail.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import spartrail.policy.PolicyVersion.Stage;

/**
 * What the leader does: it collects the nodes' votes on the pending proposal, and advances the log.
 *
 * <p>A response to a poll rests on a read of the log that a majority has confirmed after the poll was sent. So whoever holds a
 * lease on the version before alone had polled before {@code DECIDE} was applied here, and its lease has expired
 * {@link PolicyTimings#leaseExpiryBoundMs} later: no list of leases is needed for that, none can be lost with a leader. A new leader
 * counts from when it begins to lead.
 *
 * <ol>
 * <li>{@code DECIDE} is due only once every live node, and every node that may still hold a lease, has said that it can apply
 *     the version; one objection refuses it.
 * <li>{@code HOLD} is due only when {@code leaseExpiryBoundMs} have passed since this node, as the leader, knew of
 *     {@code DECIDE}.
 * </ol>
 */
public final class PolicyLeader {
    private static final int MAX_NODES = 1024;
    private static final int MAX_NAMED_NODES = 5;
    private static final long NONE = -1;

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

    /** Not leading yet. */
    public PolicyLeader(PolicyTimings times) {
        this.times = times;
    }

    /** Whether this node leads now; whoever begins to has no votes yet. */
    public void setLeading(boolean leading) {
        if (leading != isLeading) {
            isLeading = leading;
            knownStage = null;
            votes.clear();
            leaseEndsMs.clear();
        }
    }

    /** A node has polled; takes up its vote, and for how long the lease may last that it is about to get. */
    public void onRequest(PolicyRequest request, double nowMs) {
        boolean hasRoom = leaseEndsMs.containsKey(request.node()) || leaseEndsMs.size() < MAX_NODES;
        if (isLeading && hasRoom) {
            leaseEndsMs.put(request.node(), nowMs + times.leaseExpiryBoundMs());
            votes.put(request.node(), new Vote(request.votedNumber(), request.objection()));
        }
    }

    /** The operation that is to be appended to the log now, or null. */
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
            requestedAtIndex = NONE;
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
        return LogOperation.ofLeader(LogOperation.Kind.HOLD, pending.number());
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
                return refusal(pending, vote.objection(), node);
            }
            missing.remove(node);
        }
        // A leader of a moment ago has heard of nobody yet, and would decide for nodes that cannot apply the version.
        boolean hasLedLongEnough = nowMs - knownSinceMs >= times.pollIntervalMs();
        if (missing.isEmpty() && hasLedLongEnough) {
            return LogOperation.ofLeader(LogOperation.Kind.DECIDE, pending.number());
        }
        if (nowMs - knownSinceMs < times.voteTimeoutMs()) {
            return null;
        }
        String reason = "said nothing in " + Math.round(times.voteTimeoutMs()) + " ms";
        return refusal(pending, reason, firstNames(missing));
    }

    private static LogOperation refusal(PolicyVersion pending, String reason, String nodes) {
        return new LogOperation(LogOperation.Kind.REFUSE, pending.number(), reason, nodes, "");
    }

    private static String firstNames(TreeSet<String> nodes) {
        return String.join(", ", new ArrayList<>(nodes).subList(0, Math.min(MAX_NAMED_NODES, nodes.size())));
    }
}
