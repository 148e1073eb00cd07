package spartrail.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import spartrail.policy.PolicyLog.Entry;
import spartrail.policy.PolicyLog.Stage;

/**
 * What the leading one of the deciding nodes does: it gathers what nodes say of the open proposal, and moves the log on.
 *
 * <p>A node is told what holds only by a read of the log that a majority has confirmed after it asked. So whoever was told of
 * the version before alone had asked before {@code DECIDE} was applied here, and its lease is over {@link PolicyTimings#leaseExpiryBoundMs}
 * later: no list of leases is needed, none can be lost with a leader. A new leader counts from when it leads.
 *
 * <ol>
 * <li>{@code DECIDE} is asked for only once everybody that is there, and everybody that may still hold a lease, has said that
 *     it can apply the version; one no refuses it.
 * <li>{@code HOLD} is asked for only when {@code overMs} have passed since this node, as the leader, knew of {@code DECIDE}.
 * </ol>
 */
public final class PolicyLeader {
    private static final int MAX_NODES = 1024;

    private record Vote(long number, String no) {}

    private final PolicyTimings times;
    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<String, Double> leaseEndsMs = new HashMap<>();
    private boolean isLeading;
    private long knownNumber;
    private Stage knownStage;
    private double knownSinceMs;
    private long requestedAtIndex;
    private double requestedAtMs;

    public PolicyLeader(PolicyTimings times) {
        this.times = times;
    }

    /** Whether this node leads now; whoever begins to has heard nobody yet. */
    public void setLeading(boolean leading) {
        if (leading != isLeading) {
            isLeading = leading;
            knownStage = null;
            votes.clear();
            leaseEndsMs.clear();
        }
    }

    /** A node has asked; the lease that it is about to get may last so long at the most. */
    public void onRequest(PolicyRequest ask, double nowMs) {
        if (isLeading && (leaseEndsMs.containsKey(ask.node()) || leaseEndsMs.size() < MAX_NODES)) {
            leaseEndsMs.put(ask.node(), nowMs + times.leaseExpiryBoundMs());
            votes.put(ask.node(), new Vote(ask.votedNumber(), ask.objection()));
        }
    }

    /** What is to be appended to the log now, if anything; {@code there} names the nodes that are there. */
    public LogOperation nextOperation(PolicyLog log, Collection<String> liveNodes, double nowMs) {
        Entry pending = log.pending();
        if (!isLeading || pending == null) {
            knownStage = null;
            return null;
        }
        if (knownStage != pending.stage() || knownNumber != pending.number()) {
            knownStage = pending.stage();
            knownNumber = pending.number();
            knownSinceMs = nowMs;
            requestedAtIndex = -1;
        }
        if (requestedAtIndex == log.lastAppliedIndex() && nowMs - requestedAtMs < times.pollIntervalMs()) {
            return null;
        }
        LogOperation op = pending.stage() == Stage.DECIDED ? held(pending, nowMs) : decided(pending, liveNodes, nowMs);
        if (op != null) {
            requestedAtIndex = log.lastAppliedIndex();
            requestedAtMs = nowMs;
        }
        return op;
    }

    private LogOperation held(Entry pending, double nowMs) {
        return nowMs - knownSinceMs < times.leaseExpiryBoundMs()
                ? null
                : new LogOperation(LogOperation.Kind.HOLD, pending.number(), "", "", "");
    }

    private LogOperation decided(Entry pending, Collection<String> liveNodes, double nowMs) {
        TreeSet<String> missing = new TreeSet<>(liveNodes);
        leaseEndsMs.forEach((name, untilMs) -> {
            if (untilMs > nowMs) {
                missing.add(name);
            }
        });
        for (String name : new ArrayList<>(missing)) {
            Vote vote = votes.get(name);
            if (vote != null && vote.number() == pending.number()) {
                if (!vote.no().isEmpty()) {
                    return new LogOperation(LogOperation.Kind.REFUSE, pending.number(), vote.no(), name, "");
                }
                missing.remove(name);
            }
        }
        // Danger: a leader of a moment ago has heard of nobody yet, and would decide for nodes that cannot apply it.
        if (missing.isEmpty() && nowMs - knownSinceMs >= times.pollIntervalMs()) {
            return new LogOperation(LogOperation.Kind.DECIDE, pending.number(), "", "", "");
        }
        return nowMs - knownSinceMs < times.voteTimeoutMs()
                ? null
                : new LogOperation(
                        LogOperation.Kind.REFUSE,
                        pending.number(),
                        "said nothing in " + Math.round(times.voteTimeoutMs()) + " ms",
                        String.join(", ", new ArrayList<>(missing).subList(0, Math.min(5, missing.size()))),
                        "");
    }
}
