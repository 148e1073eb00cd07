package spartrail.lab.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/**
 * Model of how one policy version replaces another at a few nodes, as {@code spartrail.policy} does it, with every
 * order of events: nodes poll; the leader reads the log; responses arrive, late or never; processes pause, resume,
 * crash and restart; the leader changes; and time passes. Each node's clock runs at the correct rate or loses one
 * tick per lease; the leader's gains at most one tick per wait.
 *
 * <p>The model leaves out what cannot change the result: proposals and refusals before the decision do not matter,
 * and a node that restarts is the same as one without a lease. The replicated log is one variable; its consensus is
 * for the replication library to prove. Nodes are identical, so states that differ only in the order of nodes are one
 * state.
 *
 * <p>A state is packed into one number. The search is breadth first, so the trace to a violation is the shortest one.
 */
public final class PolicyModel {
    /** A step of the protocol that can be omitted, to verify that the protocol needs it. */
    public enum Step {
        EXPIRY_WAIT("the wait between DECIDE and HOLD"),
        DRIFT_MARGIN("the part of the wait that allows for clocks that drift"),
        LEASE_FROM_POLL("that a lease counts from the time of the poll"),
        WAIT_FROM_DECISION("that the wait counts from the decision"),
        CLOCK_CHECK("that a node checks its clock after a pause, before it decides"),
        LINEARIZABLE_READ("that a majority confirms each read"),
        JOINT_LEASES("that after the decision leases are only granted on both versions");

        private final String description;

        Step(String description) {
            this.description = description;
        }

        /** What the protocol lacks when this step is omitted. */
        public String description() {
            return description;
        }
    }

    /**
     * The result of a search.
     *
     * @param states the number of states visited
     * @param broken the property that a state violates, or empty
     * @param trace the shortest sequence of states to that state, or empty
     */
    public record SearchResult(long states, String broken, List<String> trace) {}

    // The versions that a lease or a response covers; POLLED is a poll without a response yet.
    private static final int NONE = 0;
    private static final int OLD = 1;
    private static final int BOTH = 2;
    private static final int NEW = 3;
    private static final int POLLED = 4;

    // Stages of the log.
    private static final int BEFORE = 0;
    private static final int DECIDED = 1;
    private static final int HOLDS = 2;

    /**
     * The bits of a node: paused; the lease, its remaining ticks, whether its lag is used; the message in flight, its
     * remaining ticks, whether its lag is used.
     */
    private static final int PAUSED = 1;

    private static final int LEASE_SHIFT = 1;
    private static final int LEASE_MASK = 3;
    private static final int TICKS_MASK = 3;
    private static final int MESSAGE_MASK = 7;
    private static final int LEASE_TICKS_SHIFT = 3;
    private static final int LEASE_LAGGED = 1 << 5;
    private static final int MESSAGE_SHIFT = 6;
    private static final int MESSAGE_TICKS_SHIFT = 9;
    private static final int MESSAGE_LAGGED = 1 << 11;
    private static final int NODE_BITS = 12;
    private static final int NODE_MASK = (1 << NODE_BITS) - 1;
    /** One tick for a slow lease holder, one for the leader's own fast clock. */
    private static final int DRIFT_TICKS = 2;

    private final int size;
    private final int leaseTicks;
    private final int waitTicks;
    private final Set<Step> omitted;
    private final LongSet states = new LongSet();
    private final int[] nodes;
    private int stage;
    private int waited;
    private boolean clockAhead;
    /** The stage of the log as a former leader still sees it, plus one; 0 if there is no former leader. */
    private int formerLeaderStage;

    private int position;

    private PolicyModel(int size, int leaseTicks, Set<Step> omitted) {
        this.size = size;
        this.leaseTicks = leaseTicks;
        this.waitTicks = waitTicks(leaseTicks, omitted);
        this.omitted = omitted;
        this.nodes = new int[size];
    }

    private static int waitTicks(int leaseTicks, Set<Step> omitted) {
        if (omitted.contains(Step.EXPIRY_WAIT)) {
            return 0;
        }
        return omitted.contains(Step.DRIFT_MARGIN) ? leaseTicks : leaseTicks + DRIFT_TICKS;
    }

    /**
     * Searches all reachable states.
     *
     * @param size the number of nodes, at most 4
     * @param leaseTicks the length of a lease in ticks, 1 to 3; the leader waits two ticks more, one for a slow lease
     *     holder and one for its own fast clock
     * @param omitted the steps to omit
     */
    public static SearchResult search(int size, int leaseTicks, Set<Step> omitted) {
        return new PolicyModel(size, leaseTicks, omitted).search();
    }

    private SearchResult search() {
        states.add(pack(nodes), -1);
        for (position = 0; position < states.size(); position++) {
            unpack(states.get(position));
            if (isBroken()) {
                return new SearchResult(
                        states.size(), "two nodes decide by different versions at one instant", trace());
            }
            stepLog();
            for (int node = 0; node < size; node++) {
                if (node == 0 || nodes[node] != nodes[node - 1]) {
                    stepNode(node);
                }
            }
            passTime();
        }
        return new SearchResult(states.size(), "", List.of());
    }

    /** Returns the states from the first one to the current one, in readable form. */
    private List<String> trace() {
        List<String> trace = new ArrayList<>();
        for (int index = position; index >= 0; index = states.predecessor(index)) {
            unpack(states.get(index));
            trace.add(toString());
        }
        Collections.reverse(trace);
        return trace;
    }

    @Override
    public String toString() {
        String[] stages = {"before", "decided", "holds"};
        String[] leases = {"-", "old", "both", "new", "asks"};
        StringBuilder text = new StringBuilder(stages[stage]).append(stage == DECIDED ? " " + waited : "");
        for (int node : nodes) {
            text.append(" [")
                    .append(leases[leaseOf(node)])
                    .append(' ')
                    .append(leaseTicksOf(node))
                    .append(isPaused(node) ? " still" : "")
                    .append(messageOf(node) == NONE ? "" : " < " + leases[messageOf(node)] + ' ' + messageTicksOf(node))
                    .append(']');
        }
        return text.toString();
    }

    private static boolean isPaused(int node) {
        return (node & PAUSED) != 0;
    }

    private static int leaseOf(int node) {
        return node >> LEASE_SHIFT & LEASE_MASK;
    }

    private static int leaseTicksOf(int node) {
        return node >> LEASE_TICKS_SHIFT & TICKS_MASK;
    }

    private static int messageOf(int node) {
        return node >> MESSAGE_SHIFT & MESSAGE_MASK;
    }

    private static int messageTicksOf(int node) {
        return node >> MESSAGE_TICKS_SHIFT & TICKS_MASK;
    }

    /** Packs the log into the high bits and then the nodes, sorted, so that equal sets of nodes give one state. */
    private long pack(int[] packed) {
        int[] sorted = packed.clone();
        Arrays.sort(sorted);
        long bits = stage | waited << 2 | (clockAhead ? 1 : 0) << 5 | formerLeaderStage << 6;
        for (int node : sorted) {
            bits = bits << NODE_BITS | node;
        }
        return bits;
    }

    private void unpack(long bits) {
        long rest = bits;
        for (int i = size - 1; i >= 0; i--) {
            nodes[i] = (int) (rest & NODE_MASK);
            rest >>= NODE_BITS;
        }
        stage = (int) (rest & 3);
        waited = (int) (rest >> 2 & 7);
        clockAhead = (rest >> 5 & 1) == 1;
        formerLeaderStage = (int) (rest >> 6 & 3);
    }

    private boolean isBroken() {
        boolean hasOld = false;
        boolean hasNew = false;
        for (int node : nodes) {
            boolean decides = !isPaused(node) && leaseTicksOf(node) > 0;
            hasOld |= decides && leaseOf(node) == OLD;
            hasNew |= decides && leaseOf(node) == NEW;
        }
        return hasOld && hasNew;
    }

    private void addState() {
        states.add(pack(nodes), position);
    }

    private void stepLog() {
        int stageBefore = stage;
        int waitedBefore = waited;
        boolean clockAheadBefore = clockAhead;
        int formerBefore = formerLeaderStage;
        if (stage == BEFORE) {
            stage = DECIDED;
            addState();
            stage = stageBefore;
        }
        if (stage == DECIDED && waited >= waitTicks) {
            stage = HOLDS;
            waited = 0;
            clockAhead = false;
            addState();
            stage = stageBefore;
            waited = waitedBefore;
            clockAhead = clockAheadBefore;
        }
        if (stage == DECIDED && waited > 0) {
            // The leader changes: the new one learns of the decision now, so its wait starts again.
            waited = 0;
            clockAhead = false;
            addState();
            waited = waitedBefore;
            clockAhead = clockAheadBefore;
        }
        if (omitted.contains(Step.LINEARIZABLE_READ) && formerLeaderStage != stage + 1) {
            formerLeaderStage = stage + 1;
            addState();
            formerLeaderStage = formerBefore;
        }
    }

    private int leaseGrantedAt(int logStage) {
        if (logStage == HOLDS) {
            return NEW;
        }
        return logStage == DECIDED && !omitted.contains(Step.JOINT_LEASES) ? BOTH : OLD;
    }

    private void addState(int i, int node) {
        int nodeBefore = nodes[i];
        nodes[i] = normalize(node);
        addState();
        nodes[i] = nodeBefore;
    }

    /** Clears the bits that no longer matter: those of an expired lease, and those of no or a useless message. */
    private int normalize(int node) {
        int withoutExpired = leaseTicksOf(node) == 0 ? node & ~(LEASE_MASK << LEASE_SHIFT | LEASE_LAGGED) : node;
        boolean isUseless = messageOf(withoutExpired) != NONE
                && messageTicksOf(withoutExpired) == 0
                && !omitted.contains(Step.LEASE_FROM_POLL);
        return messageOf(withoutExpired) == NONE || isUseless
                ? withoutExpired & ~(MESSAGE_MASK << MESSAGE_SHIFT | TICKS_MASK << MESSAGE_TICKS_SHIFT | MESSAGE_LAGGED)
                : withoutExpired;
    }

    private static int withMessage(int node, int message) {
        return node & ~(MESSAGE_MASK << MESSAGE_SHIFT) | message << MESSAGE_SHIFT;
    }

    private void stepNode(int i) {
        int node = nodes[i];
        int message = messageOf(node);
        boolean paused = isPaused(node);
        addState(i, node ^ PAUSED);
        if (node != 0) {
            // The process crashes, and restarts without a lease.
            addState(i, 0);
        }
        if (message == NONE && !paused) {
            addState(i, withMessage(node, POLLED) | leaseTicks << MESSAGE_TICKS_SHIFT);
        }
        if (message != NONE) {
            // The message is lost.
            addState(i, withMessage(node, NONE));
        }
        if (message == POLLED) {
            addState(i, withMessage(node, leaseGrantedAt(stage)));
            if (formerLeaderStage > 0) {
                addState(i, withMessage(node, leaseGrantedAt(formerLeaderStage - 1)));
            }
        } else if (message != NONE && !paused) {
            int ticks = omitted.contains(Step.LEASE_FROM_POLL) ? leaseTicks : messageTicksOf(node);
            int granted = node & ~(LEASE_MASK << LEASE_SHIFT | TICKS_MASK << LEASE_TICKS_SHIFT | LEASE_LAGGED)
                    | message << LEASE_SHIFT
                    | ticks << LEASE_TICKS_SHIFT
                    | ((node & MESSAGE_LAGGED) != 0 ? LEASE_LAGGED : 0);
            addState(i, withMessage(granted, NONE));
        }
    }

    /**
     * Advances time by a tick: each node's clock advances or lags behind, the leader's advances by one tick or by
     * two.
     */
    private void passTime() {
        int[] before = nodes.clone();
        int waitedBefore = waited;
        boolean clockAheadBefore = clockAhead;
        for (int lags = 0; lags < 1 << size; lags++) {
            boolean isPossible = true;
            for (int i = 0; i < size && isPossible; i++) {
                int ticked = afterTick(before[i], (lags >> i & 1) == 1);
                isPossible = ticked >= 0;
                nodes[i] = ticked;
            }
            if (!isPossible) {
                continue;
            }
            if (stage == DECIDED || stage == BEFORE && omitted.contains(Step.WAIT_FROM_DECISION)) {
                waited = Math.min(leaseTicks + DRIFT_TICKS, waitedBefore + 1);
                addState();
                if (!clockAheadBefore) {
                    waited = Math.min(leaseTicks + DRIFT_TICKS, waitedBefore + 2);
                    clockAhead = true;
                    addState();
                }
                waited = waitedBefore;
                clockAhead = clockAheadBefore;
            } else {
                addState();
            }
        }
        System.arraycopy(before, 0, nodes, 0, size);
    }

    /** Returns a node's state one tick later by its clock; -1 if it should lag but has used its lag. */
    private int afterTick(int node, boolean isLagging) {
        int leaseLeft = leaseTicksOf(node);
        int messageLeft = messageTicksOf(node);
        if (isLagging
                && (leaseLeft == 0 && messageLeft == 0
                        || leaseLeft > 0 && (node & LEASE_LAGGED) != 0
                        || messageLeft > 0 && (node & MESSAGE_LAGGED) != 0)) {
            return -1;
        }
        if (omitted.contains(Step.CLOCK_CHECK) && isPaused(node)) {
            return node;
        }
        int ticked = node;
        if (isLagging) {
            ticked |= (leaseLeft > 0 ? LEASE_LAGGED : 0) | (messageLeft > 0 ? MESSAGE_LAGGED : 0);
        } else {
            ticked -= (leaseLeft > 0 ? 1 << LEASE_TICKS_SHIFT : 0) + (messageLeft > 0 ? 1 << MESSAGE_TICKS_SHIFT : 0);
        }
        return normalize(ticked);
    }
}
