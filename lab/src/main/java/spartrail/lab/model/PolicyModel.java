package spartrail.lab.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/**
 * How one version takes the place of another at a few nodes, as {@code spartrail.policy} does it, with every order of events: nodes
 * poll, polls are read, responses come, late or never, processes pause, resume, are lost and start again, another one leads, and
 * time passes, for each node's clock at the right pace or a tick slower a lease, and for the leader's a tick faster a wait.
 *
 * <p>What is left out as it cannot change what is asked here: before the decision it does not matter what is proposed or refused; who
 * is lost and starts again is one that holds nothing. The replicated log is one variable: that it is agreed on is the library's to show.
 * Nodes are alike, so states that differ in their order only are one.
 *
 * <p>A state is one number. Searched breadth first, so that a trace is the shortest.
 */
public final class PolicyModel {
    /** A step of the protocol that can be left out, to see that it is needed. */
    public enum Step {
        EXPIRY_WAIT("the wait between DECIDE and HOLD"),
        DRIFT_MARGIN("the part of the wait that allows for clocks that drift"),
        LEASE_FROM_POLL("that a lease counts from when the node asked"),
        WAIT_FROM_DECISION("that the wait counts from the decision"),
        CLOCK_CHECK("that a node which stood still looks at its clock before it decides"),
        LINEARIZABLE_READ("that a majority confirms each read"),
        JOINT_LEASES("that after the decision leases are on both versions only");

        private final String description;

        Step(String description) {
            this.description = description;
        }

        /** What the protocol lacks without it. */
        public String description() {
            return description;
        }
    }

    /** What came of a search: how many states there are, and the shortest way to one that must not be, or empty. */
    public record SearchResult(long states, String broken, List<String> trace) {}

    // What a lease or a response is on.
    private static final int NONE = 0;
    private static final int OLD = 1;
    private static final int BOTH = 2;
    private static final int NEW = 3;
    private static final int POLLED = 4;

    // Stages of the log.
    private static final int BEFORE = 0;
    private static final int DECIDED = 1;
    private static final int HOLDS = 2;

    /** Bits of a node: paused, lease, its ticks left, its lag used; message under way, its ticks left, its lag used. */
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
    private static final int BITS = 12;
    private static final int NODE = (1 << BITS) - 1;
    /** One for a slow holder, one for the leader's own fast clock. */
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
    /** The stage of the log as a replaced leader still has it, plus one; 0 for none. */
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
     * Searches all states.
     *
     * @param size how many nodes, at most 4
     * @param leaseTicks a lease's length in ticks, 1 to 3; the leader waits two more, one for a slow holder and one for its own fast clock
     * @param omitted these steps are left out
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

    /** States from the first one on, as a person reads them. */
    private List<String> trace() {
        List<String> trace = new ArrayList<>();
        for (int place = position; place >= 0; place = states.predecessor(place)) {
            unpack(states.get(place));
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

    /** The log first, then the nodes in the order of their numbers. */
    private long pack(int[] packed) {
        int[] sorted = packed.clone();
        Arrays.sort(sorted);
        long bits = stage | waited << 2 | (clockAhead ? 1 : 0) << 5 | formerLeaderStage << 6;
        for (int node : sorted) {
            bits = bits << BITS | node;
        }
        return bits;
    }

    private void unpack(long bits) {
        long rest = bits;
        for (int i = size - 1; i >= 0; i--) {
            nodes[i] = (int) (rest & NODE);
            rest >>= BITS;
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
            // Another one leads: it knows of the decision from now on.
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
        int was = nodes[i];
        nodes[i] = normalized(node);
        addState();
        nodes[i] = was;
    }

    /** A lease that is over and no message under way are one state each. */
    private int normalized(int node) {
        int withoutExpired = leaseTicksOf(node) == 0 ? node & ~(LEASE_MASK << LEASE_SHIFT | LEASE_LAGGED) : node;
        boolean useless = messageOf(withoutExpired) != NONE
                && messageTicksOf(withoutExpired) == 0
                && !omitted.contains(Step.LEASE_FROM_POLL);
        return messageOf(withoutExpired) == NONE || useless
                ? withoutExpired & ~(MESSAGE_MASK << MESSAGE_SHIFT | TICKS_MASK << MESSAGE_TICKS_SHIFT | MESSAGE_LAGGED)
                : withoutExpired;
    }

    private static int withMessage(int node, int what) {
        return node & ~(MESSAGE_MASK << MESSAGE_SHIFT) | what << MESSAGE_SHIFT;
    }

    private void stepNode(int i) {
        int node = nodes[i];
        int message = messageOf(node);
        boolean paused = isPaused(node);
        addState(i, node ^ PAUSED);
        if (node != 0) {
            // It is lost, and starts again with nothing.
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

    /** Time passes: each node's clock at the right pace or a tick behind, the leader's at the right pace or a tick ahead. */
    private void passTime() {
        int[] before = nodes.clone();
        int waitedBefore = waited;
        boolean clockAheadBefore = clockAhead;
        for (int lags = 0; lags < 1 << size; lags++) {
            boolean can = true;
            for (int i = 0; i < size && can; i++) {
                int ticked = afterTick(before[i], (lags >> i & 1) == 1);
                can = ticked >= 0;
                nodes[i] = ticked;
            }
            if (!can) {
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

    /** A node a tick later, by its clock; -1 where that cannot lag any more. */
    private int afterTick(int node, boolean lags) {
        int leaseLeft = leaseTicksOf(node);
        int messageLeft = messageTicksOf(node);
        if (lags
                && (leaseLeft == 0 && messageLeft == 0
                        || leaseLeft > 0 && (node & LEASE_LAGGED) != 0
                        || messageLeft > 0 && (node & MESSAGE_LAGGED) != 0)) {
            return -1;
        }
        if (omitted.contains(Step.CLOCK_CHECK) && isPaused(node)) {
            return node;
        }
        int ticked = node;
        if (lags) {
            ticked |= (leaseLeft > 0 ? LEASE_LAGGED : 0) | (messageLeft > 0 ? MESSAGE_LAGGED : 0);
        } else {
            ticked -= (leaseLeft > 0 ? 1 << LEASE_TICKS_SHIFT : 0) + (messageLeft > 0 ? 1 << MESSAGE_TICKS_SHIFT : 0);
        }
        return normalized(ticked);
    }
}
