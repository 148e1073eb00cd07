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
 * Checks the rules of peer membership from outside: an observer reports which processes ran when, and how each node's
 * view of its peers changed. The numbers of the rules are those of {@code spartrail.peers.SwimMembership}. Used for
 * real processes and for the simulated network.
 */
public final class PeersRules {
    /** A broken rule, and when in the history it was broken. */
    public record Breach(double atMs, String rule, String description) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.0f ms, %s: %s", atMs, rule, description);
        }
    }

    /** A node's view of one peer. */
    public record KnownPeer(Incarnation incarnation, int refutations, PeerState state) {}

    /**
     * A change of a node's view of a peer.
     *
     * @param ownVerdict whether the viewer reached the new state by itself, not from an update of another node
     * @param healthProblem the viewer's own health problem at that time, or empty
     */
    public record Change(
            double atMs, int viewer, int subject, KnownPeer known, boolean ownVerdict, String healthProblem) {}

    private static final int MAX_BREACHES = 20;

    private final int size;
    private final List<Breach> breaches = new ArrayList<>();
    private final List<Map<Integer, KnownPeer>> views = new ArrayList<>();
    private final Incarnation[] incarnations;
    private final boolean[] running;
    private final boolean[] announcedLeaving;
    private final double[] endedMs;
    private final boolean[] awaitsMessage;
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
        this.awaitsMessage = new boolean[size];
        for (int i = 0; i < size; i++) {
            views.add(new HashMap<>());
        }
    }

    /** A process has started, with an empty view. */
    public void onStart(int node) {
        running[node] = true;
        announcedLeaving[node] = false;
        views.get(node).clear();
        awaitsMessage[node] = false;
        incarnations[node] = null;
    }

    /** A process that kept running takes part again, with this view. */
    public void onResume(int node, Map<Integer, KnownPeer> view) {
        onStart(node);
        views.get(node).putAll(view);
    }

    /** A node uses this incarnation from now on. */
    public void onIncarnation(int node, Incarnation incarnation) {
        incarnations[node] = incarnation;
    }

    /** A process has ended; {@code announced} is whether it had announced that it leaves. */
    public void onEnd(int node, boolean announced, double atMs) {
        if (running[node]) {
            running[node] = false;
            announcedLeaving[node] = announced;
            endedMs[node] = atMs;
        }
    }

    /** A node resumes after a long pause: until it receives a message it must not judge any peer. */
    public void onWake(int node) {
        awaitsMessage[node] = true;
    }

    public void onMessage(int node) {
        awaitsMessage[node] = false;
    }

    /** A fault begins; from now on verdicts may be wrong for a while. */
    public void onFault(double atMs) {
        firstFaultMs = Math.min(firstFaultMs, atMs);
    }

    /** A node has removed a peer from its view. */
    public void onForgotten(int viewer, int other) {
        views.get(viewer).remove(other);
    }

    public void onChange(Change change) {
        judgedChanges++;
        int other = change.subject();
        String prefix = "n" + change.viewer() + " sees n" + other + " as "
                + change.known().state();
        KnownPeer before = views.get(change.viewer()).put(other, change.known());
        if (before != null && compare(change.known(), before) <= 0) {
            breach(change.atMs(), "1 never back", prefix + " with " + change.known() + " after " + before);
        }
        PeerState state = change.known().state();
        if (change.ownVerdict()
                && (state == PeerState.SUSPECT || state == PeerState.GONE)
                && !change.healthProblem().isEmpty()) {
            breach(
                    change.atMs(),
                    "4 no verdict in doubt",
                    prefix + " while it has a health problem: " + change.healthProblem());
        }
        if (change.ownVerdict()
                && (state == PeerState.SUSPECT || state == PeerState.GONE)
                && awaitsMessage[change.viewer()]) {
            breach(change.atMs(), "4 no verdict in doubt", prefix + " after a pause, before any message arrived");
        }
        boolean isCurrent = change.known().incarnation().equals(incarnations[other]);
        if (state == PeerState.LEFT && isCurrent && !announcedLeaving[other]) {
            breach(change.atMs(), "2 only its own word", prefix + ", but that node has not announced that it leaves");
        }
        if (change.ownVerdict() && state == PeerState.SUSPECT && isCurrent && running[other]) {
            falseSuspicions++;
            falseSuspicionsInFault += change.atMs() >= firstFaultMs ? 1 : 0;
        }
        goneAfterLeaving += state == PeerState.GONE && isCurrent && !running[other] && announcedLeaving[other] ? 1 : 0;
        if (!state.isPresent() && isCurrent && running[other]) {
            falseRemovals.merge(other, 1, Integer::sum);
            if (change.atMs() < firstFaultMs) {
                breach(change.atMs(), "no false end", prefix + ", but the node runs and there was no fault");
            }
        } else if (!state.isPresent() && isCurrent) {
            detectionTimesMs.add(change.atMs() - endedMs[other]);
        }
    }

    private static int compare(KnownPeer one, KnownPeer other) {
        int order = one.incarnation().compareTo(other.incarnation());
        order = order != 0 ? order : Boolean.compare(one.state() == PeerState.LEFT, other.state() == PeerState.LEFT);
        order = order != 0 ? order : Integer.compare(one.refutations(), other.refutations());
        return order != 0 ? order : one.state().compareTo(other.state());
    }

    /**
     * Checks, after the settling time since the last fault, that each running node sees all running nodes as alive
     * and no other node as present.
     */
    public void checkAgreement(double atMs) {
        int runningCount = 0;
        for (boolean each : running) {
            runningCount += each ? 1 : 0;
        }
        for (int viewer = 0; viewer < size && runningCount > 1; viewer++) {
            for (int other = 0; running[viewer] && other < size; other++) {
                KnownPeer known = views.get(viewer).get(other);
                boolean isCurrent = known != null && known.incarnation().equals(incarnations[other]);
                if (other != viewer && running[other] && (!isCurrent || known.state() != PeerState.ALIVE)) {
                    breach(atMs, "views agree", "n" + viewer + " sees n" + other + " as " + known + ", but it runs");
                } else if (other != viewer
                        && !running[other]
                        && known != null
                        && known.state().isPresent()) {
                    breach(
                            atMs,
                            "views agree",
                            "n" + viewer + " sees n" + other + " as " + known + ", but it has ended");
                }
            }
        }
        judgedChanges++;
    }

    public void breach(double atMs, String rule, String description) {
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(atMs, rule, description));
        }
    }

    /** The time from each end of a process to its detection, once for each viewer. */
    public List<Double> detectionTimesMs() {
        return detectionTimesMs;
    }

    /** How often each running node was declared gone or left, over all viewers. */
    public Map<Integer, Integer> falseRemovals() {
        return falseRemovals;
    }

    /** How often a node suspected a running node by its own verdict. */
    public long falseSuspicions() {
        return falseSuspicions;
    }

    /**
     * False suspicions from the first fault on. Before it, many starts at the same time may overload a seed node for
     * a moment.
     */
    public long falseSuspicionsInFault() {
        return falseSuspicionsInFault;
    }

    /** How often a node that had announced that it leaves was declared gone. */
    public long goneAfterLeaving() {
        return goneAfterLeaving;
    }

    /** The number of changes checked; without any, the absence of breaches means nothing. */
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
