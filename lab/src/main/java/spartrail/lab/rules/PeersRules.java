package spartrail.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerState;

/**
 * What must hold of what front nodes know of each other, told by who looks on from outside: which processes ran when, and what
 * each node came to hold. Numbers are those of {@code spartrail.peers.SwimMembership}. The same judge for processes and for a virtual
 * network.
 */
public final class PeersRules {
    /** What did not hold, and where in the history. */
    public record Breach(double atMs, String rule, String what) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.0f ms, %s: %s", atMs, rule, what);
        }
    }

    /** What a node holds of another one. */
    public record KnownPeer(Incarnation incarnation, int refutations, PeerState state) {}

    /** A node came to hold this of another one, by its own verdict or by what it was told; why it doubts itself, or empty. */
    public record Change(
            double atMs, int viewer, int subject, KnownPeer known, boolean ownVerdict, String healthProblem) {}

    private static final int MOST_BREACHES = 20;

    private final int size;
    private final List<Breach> breaches = new ArrayList<>();
    private final List<Map<Integer, KnownPeer>> held = new ArrayList<>();
    private final Incarnation[] incarnations;
    private final boolean[] running;
    private final boolean[] announcedLeaving;
    private final double[] endedMs;
    private final boolean[] withoutMessages;
    private final List<Double> detectionTimesMs = new ArrayList<>();
    private final Map<Integer, Integer> falseRemovals = new TreeMap<>();
    private double firstFaultMs = Double.POSITIVE_INFINITY;
    private long judgedChanges;
    private long falseSuspicions;
    private long falseSuspicionsInFault;
    private long goneAfterLeaving;

    public PeersRules(int size) {
        this.size = size;
        this.incarnations = new Incarnation[size];
        this.running = new boolean[size];
        this.announcedLeaving = new boolean[size];
        this.endedMs = new double[size];
        this.withoutMessages = new boolean[size];
        for (int i = 0; i < size; i++) {
            held.add(new HashMap<>());
        }
    }

    /** A process has started: it holds nothing of anybody. */
    public void onStart(int node) {
        running[node] = true;
        announcedLeaving[node] = false;
        held.get(node).clear();
        withoutMessages[node] = false;
        incarnations[node] = null;
    }

    /** A process that ran all along takes part again; it holds this. */
    public void onResume(int node, Map<Integer, KnownPeer> holds) {
        onStart(node);
        held.get(node).putAll(holds);
    }

    /** The life by which it goes. */
    public void onIncarnation(int node, Incarnation incarnation) {
        incarnations[node] = incarnation;
    }

    /** A process has ended, and said so before, or not. */
    public void onEnd(int node, boolean announced, double atMs) {
        if (running[node]) {
            running[node] = false;
            announcedLeaving[node] = announced;
            endedMs[node] = atMs;
        }
    }

    /** A node goes on that stood still for long: until it has heard something it can judge nobody. */
    public void onWake(int node) {
        withoutMessages[node] = true;
    }

    public void onMessage(int node) {
        withoutMessages[node] = false;
    }

    /** Something is wrong from now on, so that verdicts may err for a while. */
    public void onFault(double atMs) {
        firstFaultMs = Math.min(firstFaultMs, atMs);
    }

    /** A node has forgotten another one. */
    public void onForgotten(int viewer, int other) {
        held.get(viewer).remove(other);
    }

    public void onChange(Change change) {
        judgedChanges++;
        int other = change.subject();
        String names = "n" + change.viewer() + " holds n" + other + " for "
                + change.known().state();
        KnownPeer before = held.get(change.viewer()).put(other, change.known());
        if (before != null && compare(change.known(), before) <= 0) {
            breach(change.atMs(), "1 never back", names + " in " + change.known() + " after " + before);
        }
        PeerState is = change.known().state();
        if (change.ownVerdict()
                && (is == PeerState.SUSPECT || is == PeerState.GONE)
                && !change.healthProblem().isEmpty()) {
            breach(change.atMs(), "4 no verdict in doubt", names + " while in doubt: " + change.healthProblem());
        }
        if (change.ownVerdict()
                && (is == PeerState.SUSPECT || is == PeerState.GONE)
                && withoutMessages[change.viewer()]) {
            breach(change.atMs(), "4 no verdict in doubt", names + ", having stood still and heard nothing since");
        }
        boolean current = change.known().incarnation().equals(incarnations[other]);
        if (is == PeerState.LEFT && current && !announcedLeaving[other]) {
            breach(change.atMs(), "2 only its own word", names + ", and it has not said so");
        }
        if (change.ownVerdict() && is == PeerState.SUSPECT && current && running[other]) {
            falseSuspicions++;
            falseSuspicionsInFault += change.atMs() >= firstFaultMs ? 1 : 0;
        }
        goneAfterLeaving += is == PeerState.GONE && current && !running[other] && announcedLeaving[other] ? 1 : 0;
        if (!is.isPresent() && current && running[other]) {
            falseRemovals.merge(other, 1, Integer::sum);
            if (change.atMs() < firstFaultMs) {
                breach(change.atMs(), "no false end", names + ", and nothing is wrong");
            }
        } else if (!is.isPresent() && current) {
            detectionTimesMs.add(change.atMs() - endedMs[other]);
        }
    }

    private static int compare(KnownPeer one, KnownPeer other) {
        int order = one.incarnation().compareTo(other.incarnation());
        order = order != 0 ? order : Boolean.compare(one.state() == PeerState.LEFT, other.state() == PeerState.LEFT);
        order = order != 0 ? order : Integer.compare(one.refutations(), other.refutations());
        return order != 0 ? order : one.state().compareTo(other.state());
    }

    /** Time enough has passed since the last fault: all that run hold all that run for alive, and nobody else for there. */
    public void checkAgreement(double atMs) {
        int runningCount = 0;
        for (boolean each : running) {
            runningCount += each ? 1 : 0;
        }
        for (int viewer = 0; viewer < size && runningCount > 1; viewer++) {
            for (int other = 0; running[viewer] && other < size; other++) {
                KnownPeer of = held.get(viewer).get(other);
                boolean current = of != null && of.incarnation().equals(incarnations[other]);
                if (other != viewer && running[other] && (!current || of.state() != PeerState.ALIVE)) {
                    breach(atMs, "views agree", "n" + viewer + " holds n" + other + " for " + of + ", and it runs");
                } else if (other != viewer
                        && !running[other]
                        && of != null
                        && of.state().isPresent()) {
                    breach(
                            atMs,
                            "views agree",
                            "n" + viewer + " holds n" + other + " for " + of + ", and it has ended");
                }
            }
        }
        judgedChanges++;
    }

    public void breach(double atMs, String rule, String what) {
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(new Breach(atMs, rule, what));
        }
    }

    /** How long a node took to hold one that had ended for over: one figure for each of both. */
    public List<Double> detectionTimesMs() {
        return detectionTimesMs;
    }

    /** How often a node that ran was held for over, by node, over all viewers. */
    public Map<Integer, Integer> falseRemovals() {
        return falseRemovals;
    }

    /** How often a node suspected, by its own verdict, one that ran. */
    public long falseSuspicions() {
        return falseSuspicions;
    }

    /** The same from the first fault on: a rush of starts may overwhelm a seed for a moment before. */
    public long falseSuspicionsInFault() {
        return falseSuspicionsInFault;
    }

    /** How often one was held for gone that had said that it leaves. */
    public long goneAfterLeaving() {
        return goneAfterLeaving;
    }

    /** How many changes were judged: a verdict on none is worth nothing. */
    public long judgedChanges() {
        return judgedChanges;
    }

    public boolean isRunning(int node) {
        return running[node];
    }

    public List<Breach> breaches() {
        return breaches;
    }
}
