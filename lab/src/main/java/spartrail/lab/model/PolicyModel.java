package spartrail.lab.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * How one version takes the place of another at a few nodes, as {@code spartrail.policy} does it, with every order of events: nodes
 * ask, questions are read, answers come, late or never, nodes stand still, wake, are lost and start again, another one leads, and
 * time passes, for each node's clock at the right pace or a tick slower a lease, and for the leader's a tick faster a wait.
 *
 * <p>What is left out as it cannot change what is asked here: before the decision it does not matter what is proposed or refused; who
 * is lost and starts again is one that holds nothing. The agreed log is one variable: that it is agreed is the library's to show.
 * Nodes are alike, so states that differ in their order only are one.
 *
 * <p>A state is one number. Searched breadth first, so that a trace is the shortest.
 */
public final class PolicyModel {
    /** A step of the protocol that can be left out, to see that it is needed. */
    public enum Left {
        NO_WAIT("the wait between DECIDE and HOLD"),
        NO_DRIFT("the part of the wait that allows for clocks that drift"),
        FROM_ANSWER("that a lease counts from when the node asked"),
        EARLY("that the wait counts from the decision"),
        NO_LOOK("that a node which stood still looks at its clock before it decides"),
        OLD_READ("that a majority confirms each read"),
        NO_GUARD("that after the decision leases are on both versions only");

        public final String what;

        Left(String what) {
            this.what = what;
        }
    }

    /** What came of a search: how many states there are, and the shortest way to one that must not be, or empty. */
    public record Found(long states, String broken, List<String> trace) {}

    // What a lease or an answer is on.
    private static final int NONE = 0;
    private static final int OLD = 1;
    private static final int BOTH = 2;
    private static final int NEW = 3;
    private static final int ASKED = 4;

    // Stages of the log.
    private static final int BEFORE = 0;
    private static final int DECIDED = 1;
    private static final int HOLDS = 2;

    /** Bits of a node: stands still, lease, ticks left of it, its lag used, what is under way, ticks left of that, its lag used. */
    private static final int STILL = 1;

    private static final int LEASE_AT = 1;
    private static final int LEFT_AT = 3;
    private static final int LAGGED = 1 << 5;
    private static final int FLIGHT_AT = 6;
    private static final int FLIGHT_LEFT_AT = 9;
    private static final int FLIGHT_LAGGED = 1 << 11;
    private static final int BITS = 12;
    private static final int NODE = (1 << BITS) - 1;
    private static final int MOST_LEFT = 3;

    private final int size;
    private final int lease;
    private final int wait;
    private final Set<Left> left;
    private final LongSet states = new LongSet();
    private final int[] nodes;
    private int stage;
    private int waited;
    private boolean fast;
    /** The log as a leader that was replaced still has it, and one; 0 for none. */
    private int former;

    private int at;

    private PolicyModel(int size, int lease, Set<Left> left) {
        this.size = size;
        this.lease = lease;
        this.wait = left.contains(Left.NO_WAIT) ? 0 : left.contains(Left.NO_DRIFT) ? lease : lease + 2;
        this.left = left;
        this.nodes = new int[size];
    }

    /**
     * Searches all states.
     *
     * @param size how many nodes, at most 4
     * @param lease its length in ticks, 1 to 3; the leader waits two more, one for a slow holder and one for its own fast clock
     * @param leaving these steps are left out
     */
    public static Found search(int size, int lease, Set<Left> leaving) {
        return new PolicyModel(size, lease, leaving.isEmpty() ? EnumSet.noneOf(Left.class) : EnumSet.copyOf(leaving))
                .search();
    }

    private Found search() {
        states.add(pack(nodes), -1);
        for (at = 0; at < states.size(); at++) {
            unpack(states.at(at));
            if (broken()) {
                return new Found(states.size(), "two nodes decide by different versions at one instant", trace());
            }
            log();
            for (int node = 0; node < size; node++) {
                if (node == 0 || nodes[node] != nodes[node - 1]) {
                    node(node);
                }
            }
            ticks();
        }
        return new Found(states.size(), "", List.of());
    }

    /** States from the first one on, as a person reads them. */
    private List<String> trace() {
        List<String> trace = new ArrayList<>();
        for (int place = at; place >= 0; place = states.from(place)) {
            unpack(states.at(place));
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
                    .append(leases[node >> LEASE_AT & 3])
                    .append(' ')
                    .append(node >> LEFT_AT & 3)
                    .append((node & STILL) != 0 ? " still" : "")
                    .append(
                            flight(node) == NONE
                                    ? ""
                                    : " < " + leases[flight(node)] + ' ' + (node >> FLIGHT_LEFT_AT & 3))
                    .append(']');
        }
        return text.toString();
    }

    private static int flight(int node) {
        return node >> FLIGHT_AT & 7;
    }

    /** The log first, then the nodes in the order of their numbers. */
    private long pack(int[] packed) {
        int[] sorted = packed.clone();
        java.util.Arrays.sort(sorted);
        long bits = stage | waited << 2 | (fast ? 1 : 0) << 5 | former << 6;
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
        fast = (rest >> 5 & 1) == 1;
        former = (int) (rest >> 6 & 3);
    }

    private boolean broken() {
        boolean old = false;
        boolean fresh = false;
        for (int node : nodes) {
            boolean decides = (node & STILL) == 0 && (node >> LEFT_AT & 3) > 0;
            old |= decides && (node >> LEASE_AT & 3) == OLD;
            fresh |= decides && (node >> LEASE_AT & 3) == NEW;
        }
        return old && fresh;
    }

    private void reach() {
        states.add(pack(nodes), at);
    }

    private void log() {
        int wasStage = stage;
        int wasWaited = waited;
        boolean wasFast = fast;
        int wasFormer = former;
        if (stage == BEFORE) {
            stage = DECIDED;
            reach();
            stage = wasStage;
        }
        if (stage == DECIDED && waited >= wait) {
            stage = HOLDS;
            waited = 0;
            fast = false;
            reach();
            stage = wasStage;
            waited = wasWaited;
            fast = wasFast;
        }
        if (stage == DECIDED && waited > 0) {
            // Another one leads: it knows of the decision from now on.
            waited = 0;
            fast = false;
            reach();
            waited = wasWaited;
            fast = wasFast;
        }
        if (left.contains(Left.OLD_READ) && former != stage + 1) {
            former = stage + 1;
            reach();
            former = wasFormer;
        }
    }

    private int answer(int of) {
        return of == HOLDS ? NEW : of == DECIDED && !left.contains(Left.NO_GUARD) ? BOTH : OLD;
    }

    private void reach(int i, int node) {
        int was = nodes[i];
        nodes[i] = tidy(node);
        reach();
        nodes[i] = was;
    }

    /** A lease that is over and no message under way are one state each. */
    private int tidy(int node) {
        int tidied = (node >> LEFT_AT & 3) == 0 ? node & ~(3 << LEASE_AT | LAGGED) : node;
        boolean useless =
                flight(tidied) != NONE && (tidied >> FLIGHT_LEFT_AT & 3) == 0 && !left.contains(Left.FROM_ANSWER);
        return flight(tidied) == NONE || useless
                ? tidied & ~(7 << FLIGHT_AT | 3 << FLIGHT_LEFT_AT | FLIGHT_LAGGED)
                : tidied;
    }

    private static int flies(int node, int what) {
        return node & ~(7 << FLIGHT_AT) | what << FLIGHT_AT;
    }

    private void node(int i) {
        int node = nodes[i];
        int flight = flight(node);
        boolean still = (node & STILL) != 0;
        reach(i, node ^ STILL);
        if (node != 0) {
            // It is lost, and starts again with nothing.
            reach(i, 0);
        }
        if (flight == NONE && !still) {
            reach(i, flies(node, ASKED) | lease << FLIGHT_LEFT_AT);
        }
        if (flight != NONE) {
            // The message is lost.
            reach(i, flies(node, NONE));
        }
        if (flight == ASKED) {
            reach(i, flies(node, answer(stage)));
            if (former > 0) {
                reach(i, flies(node, answer(former - 1)));
            }
        } else if (flight != NONE && !still) {
            int ticks = left.contains(Left.FROM_ANSWER) ? lease : node >> FLIGHT_LEFT_AT & 3;
            int told = node & ~(3 << LEASE_AT | 3 << LEFT_AT | LAGGED)
                    | flight << LEASE_AT
                    | ticks << LEFT_AT
                    | ((node & FLIGHT_LAGGED) != 0 ? LAGGED : 0);
            reach(i, flies(told, NONE));
        }
    }

    /** Time passes: each node's clock at the right pace or a tick behind, the leader's at the right pace or a tick ahead. */
    private void ticks() {
        int[] before = nodes.clone();
        int wasWaited = waited;
        boolean wasFast = fast;
        for (int lags = 0; lags < 1 << size; lags++) {
            boolean can = true;
            for (int i = 0; i < size && can; i++) {
                int ticked = ticked(before[i], (lags >> i & 1) == 1);
                can = ticked >= 0;
                nodes[i] = ticked;
            }
            if (!can) {
                continue;
            }
            if (stage == DECIDED || stage == BEFORE && left.contains(Left.EARLY)) {
                waited = Math.min(lease + 2, wasWaited + 1);
                reach();
                if (!wasFast) {
                    waited = Math.min(lease + 2, wasWaited + 2);
                    fast = true;
                    reach();
                }
                waited = wasWaited;
                fast = wasFast;
            } else {
                reach();
            }
        }
        System.arraycopy(before, 0, nodes, 0, size);
    }

    /** A node a tick later, by its clock; -1 where that cannot lag any more. */
    private int ticked(int node, boolean lags) {
        int holds = node >> LEFT_AT & 3;
        int flies = node >> FLIGHT_LEFT_AT & 3;
        if (lags
                && (holds == 0 && flies == 0
                        || holds > 0 && (node & LAGGED) != 0
                        || flies > 0 && (node & FLIGHT_LAGGED) != 0)) {
            return -1;
        }
        if (left.contains(Left.NO_LOOK) && (node & STILL) != 0) {
            return node;
        }
        int ticked = node;
        if (lags) {
            ticked |= (holds > 0 ? LAGGED : 0) | (flies > 0 ? FLIGHT_LAGGED : 0);
        } else {
            ticked -= (holds > 0 ? 1 << LEFT_AT : 0) + (flies > 0 ? 1 << FLIGHT_LEFT_AT : 0);
        }
        return tidy(ticked);
    }
}
