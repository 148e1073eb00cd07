package spartrail.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import spartrail.lab.rules.PeersRules;
import spartrail.peers.GossipTimings;
import spartrail.peers.Incarnation;
import spartrail.peers.MembershipView;
import spartrail.peers.OutgoingMessage;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.SwimMembership;

/**
 * Simulates the peers of front nodes and checks the rules of membership; their numbers are those of {@link
 * SwimMembership}.
 */
public class PeersSimulation implements SimulatedNetwork.Simulation<PeerMessage> {
    /** The process of one node, with its membership. */
    static final class PeersProcess implements SimulatedNode<PeerMessage> {
        final SwimMembership peers;
        private final UnaryOperator<PeerMessage> mutation;
        private final Runnable onReceived;

        PeersProcess(SwimMembership peers, UnaryOperator<PeerMessage> mutation, Runnable onReceived) {
            this.peers = peers;
            this.mutation = mutation;
            this.onReceived = onReceived;
        }

        @Override
        public void onMessage(PeerMessage message, double nowMs) {
            PeerMessage mutated = mutation.apply(message);
            if (mutated != null) {
                peers.onMessage(mutated, nowMs);
                onReceived.run();
            }
        }

        @Override
        public void advance(double nowMs) {
            peers.advance(nowMs);
        }

        @Override
        public double nextAdvanceMs() {
            return peers.nextMs();
        }

        @Override
        public List<Envelope<PeerMessage>> drainMessages() {
            List<Envelope<PeerMessage>> envelopes = new ArrayList<>();
            for (OutgoingMessage outgoing : peers.drainMessages()) {
                envelopes.add(new Envelope<>(outgoing.address(), outgoing.message()));
            }
            return envelopes;
        }

        @Override
        public void leave(double nowMs) {
            peers.leave(nowMs);
        }
    }

    /**
     * A node probes up to this many suspects per round. If it has no more, it probes each of them at least once in
     * {@code MAX_ROUNDS_BETWEEN_PROBES} rounds.
     */
    private static final int SUSPECTS_PER_ROUND = 4;

    private static final double MAX_ROUNDS_BETWEEN_PROBES = 3;

    private final int size;
    private final GossipTimings timings;
    private final UnaryOperator<PeerMessage> mutation;
    private final PeersRules rules;
    private final int[] sentThisSecond;
    private final long[] currentSecond;
    private final List<String> log = new ArrayList<>();
    private SimulatedNetwork<PeerMessage> network;
    private boolean isLogged;
    private int seedsPerNode = 3;
    private long updates;
    private long calmMessages;
    private long calmUpdates;
    /** For each node, the peers that it suspects by its own verdict, with the time of the suspicion. */
    private final List<Map<String, Double>> suspectedSinceMs = new ArrayList<>();

    /** For each node, the time of its last probe of each peer. */
    private final List<Map<String, Double>> lastProbeMs = new ArrayList<>();

    /**
     * @param mutation changes each message before a node receives it, or drops it by returning null, to check that
     *     the rules detect such a fault
     */
    public PeersSimulation(int size, GossipTimings timings, UnaryOperator<PeerMessage> mutation) {
        this.size = size;
        this.timings = timings;
        this.mutation = mutation;
        this.rules = new PeersRules(size);
        this.sentThisSecond = new int[size];
        this.currentSecond = new long[size];
        for (int i = 0; i < size; i++) {
            suspectedSinceMs.add(new HashMap<>());
            lastProbeMs.add(new HashMap<>());
        }
    }

    public void setSeedsPerNode(int count) {
        seedsPerNode = count;
    }

    /** Records a line for each fault and each change of a view, for a replay. */
    public void enableLog() {
        isLogged = true;
    }

    public List<String> log() {
        return log;
    }

    public void attachTo(SimulatedNetwork<PeerMessage> attached) {
        network = attached;
    }

    @Override
    public SimulatedNode<PeerMessage> startProcess(
            int node, int startNumber, String address, double nodeMs, RandomGenerator random) {
        Incarnation incarnation = new Incarnation(Math.round(nodeMs), random.nextInt());
        rules.onStart(node);
        suspectedSinceMs.get(node).clear();
        lastProbeMs.get(node).clear();
        rules.onIncarnation(node, incarnation);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < Math.min(seedsPerNode, size); i++) {
            addresses.add(SimulatedNetwork.address(i));
        }
        return new PeersProcess(
                new SwimMembership(
                        new PeerDescriptor("n" + node, address, "z" + node % 2, 1, "1", "", incarnation, 0),
                        addresses,
                        timings,
                        random,
                        nodeMs),
                mutation,
                () -> rules.onMessage(node));
    }

    @Override
    public long fingerprint(PeerMessage message) {
        return message.nonce()
                ^ message.digest() * 31
                        + message.kind().ordinal() * 7L
                        + message.updates().size();
    }

    @Override
    public void onSend(int node, PeerMessage message, double networkMs) {
        updates += message.updates().size();
        if (message.kind() == PeerMessage.Kind.PING && !message.recipient().isEmpty()) {
            lastProbeMs.get(node).put(message.recipient(), networkMs);
        }
        long second = (long) (networkMs / 1000);
        if (currentSecond[node] != second) {
            currentSecond[node] = second;
            sentThisSecond[node] = 0;
        }
        if (++sentThisSecond[node] == Math.ceil(2 * SwimMembership.maxMessagesPerSecond(timings)) + 1) {
            rules.breach(
                    networkMs,
                    "5 messages bounded",
                    "n" + node + " sent " + sentThisSecond[node] + " messages within one second");
        }
    }

    @Override
    public void onFault(Fault fault, boolean ends, double networkMs) {
        rules.onFault(networkMs);
        appendLog(fault + (ends ? " ends" : ""));
        if (ends
                && fault.kind() == Fault.Kind.STALL
                && fault.lastsMs() > 2 * timings.pauseThresholdMs() + timings.probeIntervalMs()) {
            fault.nodes().forEach(rules::onWake);
        }
        if (!ends
                && (fault.kind() == Fault.Kind.CRASH
                        || fault.kind() == Fault.Kind.LEAVE
                        || fault.kind() == Fault.Kind.SET_BACK)) {
            fault.nodes().forEach(node -> rules.onEnd(node, fault.kind() == Fault.Kind.LEAVE, networkMs));
        }
    }

    private void appendLog(String line) {
        if (isLogged) {
            log.add(String.format(Locale.ROOT, "%8.0f ms  %s", network.nowMs(), line));
        }
    }

    @Override
    public void onStep(int node, SimulatedNode<PeerMessage> process, double networkMs, double nodeMs) {
        SwimMembership peers = ((PeersProcess) process).peers;
        rules.onIncarnation(node, peers.self().incarnation());
        for (PeerEvent event : peers.drainEvents()) {
            if (isLogged) {
                appendLog("n" + node + " sees " + event.descriptor().name() + " as " + event.newState() + " (was "
                        + event.previousState() + ", refutations "
                        + event.descriptor().refutations() + "), reported by "
                        + event.reporter() + ": " + event.reason());
            }
            int subject = Integer.parseInt(event.descriptor().name().substring(1));
            if (event.newState() == PeerState.SUSPECT && event.reporter().equals("n" + node)) {
                suspectedSinceMs.get(node).put(event.descriptor().name(), networkMs);
            } else {
                suspectedSinceMs.get(node).remove(event.descriptor().name());
            }
            if (subject != node && event.newState() == null) {
                rules.onForgotten(node, subject);
            } else if (subject != node) {
                rules.onChange(new PeersRules.Change(
                        networkMs,
                        node,
                        subject,
                        new PeersRules.KnownPeer(
                                event.descriptor().incarnation(),
                                event.descriptor().refutations(),
                                event.newState()),
                        event.reporter().equals("n" + node),
                        event.healthProblem()));
            }
        }
        if (!suspectedSinceMs.get(node).isEmpty() && peers.nextMs() > nodeMs) {
            MembershipView view = peers.buildView(nodeMs);
            if (view.state() != PeerState.LEFT
                    && view.peers().stream()
                                    .filter(seen -> seen.state() == PeerState.SUSPECT)
                                    .count()
                            <= SUSPECTS_PER_ROUND) {
                checkSuspectsProbed(node, networkMs);
            }
        }
    }

    /** A suspect that is not probed would learn of the suspicion too late to refute it. */
    private void checkSuspectsProbed(int node, double networkMs) {
        suspectedSinceMs.get(node).forEach((other, sinceMs) -> {
            double sinceProbeMs =
                    networkMs - Math.max(sinceMs, lastProbeMs.get(node).getOrDefault(other, 0.0));
            if (sinceProbeMs > MAX_ROUNDS_BETWEEN_PROBES * timings.probeIntervalMs()) {
                rules.breach(
                        networkMs,
                        "suspects are probed",
                        "n" + node + " suspects " + other + " and has not probed it for " + Math.round(sinceProbeMs)
                                + " ms");
            }
        });
    }

    /** Starts to count traffic: from now on there is no fault, and all nodes know each other. */
    public void startCalm() {
        calmMessages = network.messages();
        calmUpdates = updates;
    }

    /** Without faults or changes, nodes send only probes and acks, and hardly any updates. */
    public void checkCalm(double durationMs) {
        double running = 0;
        for (int node = 0; node < size; node++) {
            running += rules.isRunning(node) ? 1 : 0;
        }
        // A round is a probe and its ack. Every other round also probes a departed peer, with an update about its
        // state.
        double maxMessages = running * durationMs / 1000 * 4 * 1000 / timings.probeIntervalMs() + 10;
        if (running > 1
                && rules.breaches().isEmpty()
                && (network.messages() - calmMessages > maxMessages || updates - calmUpdates > 0.25 * maxMessages)) {
            rules.breach(
                    network.nowMs(),
                    "idle traffic is bounded",
                    (network.messages() - calmMessages) + " messages and " + (updates - calmUpdates)
                            + " updates without a fault or change, expected at most " + Math.round(maxMessages));
        }
    }

    /**
     * Checks that all running nodes agree on the true state; called when the settling time after the last fault is
     * over.
     */
    public void checkSettled() {
        rules.checkAgreement(network.nowMs());
        int running = 0;
        for (int node = 0; node < size; node++) {
            running += rules.isRunning(node) ? 1 : 0;
        }
        for (int node = 0; node < size && running > 1; node++) {
            String healthProblem = rules.isRunning(node)
                    ? ((PeersProcess) network.process(node))
                            .peers
                            .buildView(network.clockMs(node))
                            .healthProblem()
                    : "";
            if (!healthProblem.isEmpty()) {
                rules.breach(
                        network.nowMs(),
                        "health problems end",
                        "n" + node + " still has a health problem: " + healthProblem);
            }
        }
    }

    public PeersRules rules() {
        return rules;
    }

    public long updates() {
        return updates;
    }
}
