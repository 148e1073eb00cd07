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
    private static final int MOST_NODES = 1024;

    private record Vote(long number, String no) {}

    private final PolicyTimings times;
    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<String, Double> leaseMs = new HashMap<>();
    private boolean leads;
    private long knownNumber;
    private Stage known;
    private double knownMs;
    private long askedFor;
    private double askedForMs;

    public PolicyLeader(PolicyTimings times) {
        this.times = times;
    }

    /** Whether this node leads now; whoever begins to has heard nobody yet. */
    public void setLeading(boolean leading) {
        if (leading != leads) {
            leads = leading;
            known = null;
            votes.clear();
            leaseMs.clear();
        }
    }

    /** A node has asked; the lease that it is about to get may last so long at the most. */
    public void onRequest(PolicyRequest ask, double nowMs) {
        if (leads && (leaseMs.containsKey(ask.node()) || leaseMs.size() < MOST_NODES)) {
            leaseMs.put(ask.node(), nowMs + times.leaseExpiryBoundMs());
            votes.put(ask.node(), new Vote(ask.votedNumber(), ask.objection()));
        }
    }

    /** What is to be appended to the log now, if anything; {@code there} names the nodes that are there. */
    public LogOperation nextOperation(PolicyLog log, Collection<String> there, double nowMs) {
        Entry open = log.pending();
        if (!leads || open == null) {
            known = null;
            return null;
        }
        if (known != open.stage() || knownNumber != open.number()) {
            known = open.stage();
            knownNumber = open.number();
            knownMs = nowMs;
            askedFor = -1;
        }
        if (askedFor == log.lastAppliedIndex() && nowMs - askedForMs < times.pollIntervalMs()) {
            return null;
        }
        LogOperation op = open.stage() == Stage.DECIDED ? held(open, nowMs) : decided(open, there, nowMs);
        if (op != null) {
            askedFor = log.lastAppliedIndex();
            askedForMs = nowMs;
        }
        return op;
    }

    private LogOperation held(Entry open, double nowMs) {
        return nowMs - knownMs < times.leaseExpiryBoundMs()
                ? null
                : new LogOperation(LogOperation.Kind.HOLD, open.number(), "", "", "");
    }

    private LogOperation decided(Entry open, Collection<String> there, double nowMs) {
        TreeSet<String> missing = new TreeSet<>(there);
        leaseMs.forEach((name, untilMs) -> {
            if (untilMs > nowMs) {
                missing.add(name);
            }
        });
        for (String name : new ArrayList<>(missing)) {
            Vote vote = votes.get(name);
            if (vote != null && vote.number() == open.number()) {
                if (!vote.no().isEmpty()) {
                    return new LogOperation(LogOperation.Kind.REFUSE, open.number(), vote.no(), name, "");
                }
                missing.remove(name);
            }
        }
        // Danger: a leader of a moment ago has heard of nobody yet, and would decide for nodes that cannot apply it.
        if (missing.isEmpty() && nowMs - knownMs >= times.pollIntervalMs()) {
            return new LogOperation(LogOperation.Kind.DECIDE, open.number(), "", "", "");
        }
        return nowMs - knownMs < times.voteTimeoutMs()
                ? null
                : new LogOperation(
                        LogOperation.Kind.REFUSE,
                        open.number(),
                        "said nothing in " + Math.round(times.voteTimeoutMs()) + " ms",
                        String.join(", ", new ArrayList<>(missing).subList(0, Math.min(5, missing.size()))),
                        "");
    }
}
