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
    private final Incarnation[] lives;
    private final boolean[] runs;
    private final boolean[] said;
    private final double[] endedMs;
    private final boolean[] deaf;
    private final List<Double> knownMs = new ArrayList<>();
    private final Map<Integer, Integer> falseEnds = new TreeMap<>();
    private double firstFaultMs = Double.POSITIVE_INFINITY;
    private long asked;
    private long falseSuspicions;
    private long suspicionsInFault;
    private long goneThoughSaid;

    public PeersRules(int size) {
        this.size = size;
        this.lives = new Incarnation[size];
        this.runs = new boolean[size];
        this.said = new boolean[size];
        this.endedMs = new double[size];
        this.deaf = new boolean[size];
        for (int i = 0; i < size; i++) {
            held.add(new HashMap<>());
        }
    }

    /** A process has started: it holds nothing of anybody. */
    public void started(int node) {
        runs[node] = true;
        said[node] = false;
        held.get(node).clear();
        deaf[node] = false;
        lives[node] = null;
    }

    /** A process that ran all along takes part again; it holds this. */
    public void resumed(int node, Map<Integer, KnownPeer> holds) {
        started(node);
        held.get(node).putAll(holds);
    }

    /** The life by which it goes. */
    public void lives(int node, Incarnation life) {
        lives[node] = life;
    }

    /** A process has ended, and said so before, or not. */
    public void ended(int node, boolean saidSo, double atMs) {
        if (runs[node]) {
            runs[node] = false;
            said[node] = saidSo;
            endedMs[node] = atMs;
        }
    }

    /** A node goes on that stood still for long: until it has heard something it can judge nobody. */
    public void woke(int node) {
        deaf[node] = true;
    }

    public void heard(int node) {
        deaf[node] = false;
    }

    /** Something is wrong from now on, so that verdicts may err for a while. */
    public void faulted(double atMs) {
        firstFaultMs = Math.min(firstFaultMs, atMs);
    }

    /** A node has forgotten another one. */
    public void forgotten(int viewer, int other) {
        held.get(viewer).remove(other);
    }

    public void changed(Change change) {
        asked++;
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
        if (change.ownVerdict() && (is == PeerState.SUSPECT || is == PeerState.GONE) && deaf[change.viewer()]) {
            breach(change.atMs(), "4 no verdict in doubt", names + ", having stood still and heard nothing since");
        }
        boolean current = change.known().incarnation().equals(lives[other]);
        if (is == PeerState.LEFT && current && !said[other]) {
            breach(change.atMs(), "2 only its own word", names + ", and it has not said so");
        }
        if (change.ownVerdict() && is == PeerState.SUSPECT && current && runs[other]) {
            falseSuspicions++;
            suspicionsInFault += change.atMs() >= firstFaultMs ? 1 : 0;
        }
        goneThoughSaid += is == PeerState.GONE && current && !runs[other] && said[other] ? 1 : 0;
        if (!is.isPresent() && current && runs[other]) {
            falseEnds.merge(other, 1, Integer::sum);
            if (change.atMs() < firstFaultMs) {
                breach(change.atMs(), "no false end", names + ", and nothing is wrong");
            }
        } else if (!is.isPresent() && current) {
            knownMs.add(change.atMs() - endedMs[other]);
        }
    }

    private static int compare(KnownPeer one, KnownPeer other) {
        int order = one.incarnation().compareTo(other.incarnation());
        order = order != 0 ? order : Boolean.compare(one.state() == PeerState.LEFT, other.state() == PeerState.LEFT);
        order = order != 0 ? order : Integer.compare(one.refutations(), other.refutations());
        return order != 0 ? order : one.state().compareTo(other.state());
    }

    /** Time enough has passed since the last fault: all that run hold all that run for alive, and nobody else for there. */
    public void settled(double atMs) {
        int running = 0;
        for (boolean each : runs) {
            running += each ? 1 : 0;
        }
        for (int viewer = 0; viewer < size && running > 1; viewer++) {
            for (int other = 0; runs[viewer] && other < size; other++) {
                KnownPeer of = held.get(viewer).get(other);
                boolean current = of != null && of.incarnation().equals(lives[other]);
                if (other != viewer && runs[other] && (!current || of.state() != PeerState.ALIVE)) {
                    breach(atMs, "views agree", "n" + viewer + " holds n" + other + " for " + of + ", and it runs");
                } else if (other != viewer
                        && !runs[other]
                        && of != null
                        && of.state().isPresent()) {
                    breach(
                            atMs,
                            "views agree",
                            "n" + viewer + " holds n" + other + " for " + of + ", and it has ended");
                }
            }
        }
        asked++;
    }

    public void breach(double atMs, String rule, String what) {
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(new Breach(atMs, rule, what));
        }
    }

    /** How long a node took to hold one that had ended for over: one figure for each of both. */
    public List<Double> knownMs() {
        return knownMs;
    }

    /** How often a node that ran was held for over, by node, over all viewers. */
    public Map<Integer, Integer> falseEnds() {
        return falseEnds;
    }

    /** How often a node suspected, by its own verdict, one that ran. */
    public long falseSuspicions() {
        return falseSuspicions;
    }

    /** The same from the first fault on: a rush of starts may overwhelm a seed for a moment before. */
    public long suspicionsInFault() {
        return suspicionsInFault;
    }

    /** How often one was held for gone that had said that it leaves. */
    public long goneThoughSaid() {
        return goneThoughSaid;
    }

    /** How many changes were judged: a verdict on none is worth nothing. */
    public long asked() {
        return asked;
    }

    public boolean runs(int node) {
        return runs[node];
    }

    public List<Breach> breaches() {
        return breaches;
    }
}
