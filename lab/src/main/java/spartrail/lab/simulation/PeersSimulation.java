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

/** Front nodes that know who of them is there, and what must hold of that; the numbers are those of {@link SwimMembership}. */
public class PeersSimulation implements SimulatedNetwork.Scene<PeerMessage> {
    /** A node's guest. */
    static final class PeersGuest implements SimulatedNode<PeerMessage> {
        final SwimMembership peers;
        private final UnaryOperator<PeerMessage> planted;
        private final Runnable heard;

        PeersGuest(SwimMembership peers, UnaryOperator<PeerMessage> planted, Runnable heard) {
            this.peers = peers;
            this.planted = planted;
            this.heard = heard;
        }

        @Override
        public void heard(PeerMessage message, double nowMs) {
            PeerMessage taken = planted.apply(message);
            if (taken != null) {
                peers.onMessage(taken, nowMs);
                heard.run();
            }
        }

        @Override
        public void advance(double nowMs) {
            peers.advance(nowMs);
        }

        @Override
        public double nextMs() {
            return peers.nextMs();
        }

        @Override
        public List<Parcel<PeerMessage>> sent() {
            List<Parcel<PeerMessage>> parcels = new ArrayList<>();
            for (OutgoingMessage outgoing : peers.drainMessages()) {
                parcels.add(new Parcel<>(outgoing.address(), outgoing.message()));
            }
            return parcels;
        }

        @Override
        public void leave(double nowMs) {
            peers.leave(nowMs);
        }
    }

    /** A node asks so many suspects a round; and each of few at least once in so many rounds. */
    private static final int FEW_SUSPECTS = 4;

    private static final double SUSPECT_ROUNDS = 3;

    private final int size;
    private final GossipTimings times;
    private final UnaryOperator<PeerMessage> planted;
    private final PeersRules rules;
    private final int[] sentThisSecond;
    private final long[] second;
    private final List<String> log = new ArrayList<>();
    private SimulatedNetwork<PeerMessage> world;
    private boolean logs;
    private int seeds = 3;
    private long words;
    private long calmMessages;
    private long calmWords;
    /** Whom each node suspects by its own verdict, since when; and whom it asked when. */
    private final List<Map<String, Double>> suspectedMs = new ArrayList<>();

    private final List<Map<String, Double>> askedMs = new ArrayList<>();

    /** What is planted may change each message that a node takes in, or drop it (null), to see whether a fault is caught. */
    public PeersSimulation(int size, GossipTimings times, UnaryOperator<PeerMessage> planted) {
        this.size = size;
        this.times = times;
        this.planted = planted;
        this.rules = new PeersRules(size);
        this.sentThisSecond = new int[size];
        this.second = new long[size];
        for (int i = 0; i < size; i++) {
            suspectedMs.add(new HashMap<>());
            askedMs.add(new HashMap<>());
        }
    }

    public void seedsEach(int count) {
        seeds = count;
    }

    /** A line for each change of a view, for a replay. */
    public void keepLog() {
        logs = true;
    }

    public List<String> log() {
        return log;
    }

    public void in(SimulatedNetwork<PeerMessage> playing) {
        world = playing;
    }

    @Override
    public SimulatedNode<PeerMessage> start(
            int node, int startNumber, String address, double nodeMs, RandomGenerator chance) {
        Incarnation life = new Incarnation(Math.round(nodeMs), chance.nextInt());
        rules.onStart(node);
        suspectedMs.get(node).clear();
        askedMs.get(node).clear();
        rules.onIncarnation(node, life);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < Math.min(seeds, size); i++) {
            addresses.add(SimulatedNetwork.address(i));
        }
        return new PeersGuest(
                new SwimMembership(
                        new PeerDescriptor("n" + node, address, "z" + node % 2, 1, "1", "", life, 0),
                        addresses,
                        times,
                        chance,
                        nodeMs),
                planted,
                () -> rules.onMessage(node));
    }

    @Override
    public long mark(PeerMessage message) {
        return message.nonce()
                ^ message.digest() * 31
                        + message.kind().ordinal() * 7L
                        + message.updates().size();
    }

    @Override
    public void sent(int node, PeerMessage message, double worldMs) {
        words += message.updates().size();
        if (message.kind() == PeerMessage.Kind.PING && !message.recipient().isEmpty()) {
            askedMs.get(node).put(message.recipient(), worldMs);
        }
        long now = (long) (worldMs / 1000);
        if (second[node] != now) {
            second[node] = now;
            sentThisSecond[node] = 0;
        }
        if (++sentThisSecond[node] == Math.ceil(2 * SwimMembership.maxMessagesPerSecond(times)) + 1) {
            rules.breach(worldMs, "5 messages bounded", "n" + node + " sent " + sentThisSecond[node] + " in a second");
        }
    }

    @Override
    public void faulted(Fault fault, boolean ends, double worldMs) {
        rules.onFault(worldMs);
        log(fault + (ends ? " ends" : ""));
        if (ends
                && fault.kind() == Fault.Kind.STALL
                && fault.lastsMs() > 2 * times.pauseThresholdMs() + times.probeIntervalMs()) {
            fault.nodes().forEach(rules::onWake);
        }
        if (!ends
                && (fault.kind() == Fault.Kind.CRASH
                        || fault.kind() == Fault.Kind.LEAVE
                        || fault.kind() == Fault.Kind.SET_BACK)) {
            fault.nodes().forEach(node -> rules.onEnd(node, fault.kind() == Fault.Kind.LEAVE, worldMs));
        }
    }

    private void log(String line) {
        if (logs) {
            log.add(String.format(Locale.ROOT, "%8.0f ms  %s", world.nowMs(), line));
        }
    }

    @Override
    public void stepped(int node, SimulatedNode<PeerMessage> guest, double worldMs, double nodeMs) {
        SwimMembership peers = ((PeersGuest) guest).peers;
        rules.onIncarnation(node, peers.self().incarnation());
        for (PeerEvent event : peers.drainEvents()) {
            if (logs) {
                log("n" + node + " holds " + event.descriptor().name() + " " + event.newState() + " (was "
                        + event.previousState() + ", turn " + event.descriptor().refutations() + "), by "
                        + event.reporter() + ": " + event.reason());
            }
            int other = Integer.parseInt(event.descriptor().name().substring(1));
            if (event.newState() == PeerState.SUSPECT && event.reporter().equals("n" + node)) {
                suspectedMs.get(node).put(event.descriptor().name(), worldMs);
            } else {
                suspectedMs.get(node).remove(event.descriptor().name());
            }
            if (other != node && event.newState() == null) {
                rules.onForgotten(node, other);
            } else if (other != node) {
                rules.onChange(new PeersRules.Change(
                        worldMs,
                        node,
                        other,
                        new PeersRules.KnownPeer(
                                event.descriptor().incarnation(),
                                event.descriptor().refutations(),
                                event.newState()),
                        event.reporter().equals("n" + node),
                        event.healthProblem()));
            }
        }
        if (!suspectedMs.get(node).isEmpty() && peers.nextMs() > nodeMs) {
            MembershipView view = peers.buildView(nodeMs);
            if (view.state() != PeerState.LEFT
                    && view.peers().stream()
                                    .filter(seen -> seen.state() == PeerState.SUSPECT)
                                    .count()
                            <= FEW_SUSPECTS) {
                suspectsAsked(node, worldMs);
            }
        }
    }

    /** A suspect that nobody probes would hear of the suspicion too late to refute it. */
    private void suspectsAsked(int node, double worldMs) {
        suspectedMs.get(node).forEach((other, sinceMs) -> {
            double silentMs = worldMs - Math.max(sinceMs, askedMs.get(node).getOrDefault(other, 0.0));
            if (silentMs > SUSPECT_ROUNDS * times.probeIntervalMs()) {
                rules.breach(
                        worldMs,
                        "suspects are asked",
                        "n" + node + " suspects " + other + " and has not asked it for " + Math.round(silentMs)
                                + " ms");
            }
        });
    }

    /** From now on nothing is wrong and all is known. */
    public void calm() {
        calmMessages = world.messages();
        calmWords = words;
    }

    /** Nodes that know each other have nothing to say but that they are there. */
    public void calmEnded(double lastedMs) {
        double running = 0;
        for (int node = 0; node < size; node++) {
            running += rules.isRunning(node) ? 1 : 0;
        }
        // A round is a question and its answer; every other one asks one of the lost, too, and tells it how it is held.
        double most = running * lastedMs / 1000 * 4 * 1000 / times.probeIntervalMs() + 10;
        if (running > 1
                && rules.breaches().isEmpty()
                && (world.messages() - calmMessages > most || words - calmWords > 0.25 * most)) {
            rules.breach(
                    world.nowMs(),
                    "calm is cheap",
                    (world.messages() - calmMessages) + " messages and " + (words - calmWords)
                            + " words while nothing happened, at most " + Math.round(most));
        }
    }

    /** All that run hold the same, and what is true; called when no fault has been for as long as that may take. */
    public void settled() {
        rules.checkAgreement(world.nowMs());
        int running = 0;
        for (int node = 0; node < size; node++) {
            running += rules.isRunning(node) ? 1 : 0;
        }
        for (int node = 0; node < size && running > 1; node++) {
            String doubt = rules.isRunning(node)
                    ? ((PeersGuest) world.guest(node))
                            .peers
                            .buildView(world.clock(node))
                            .healthProblem()
                    : "";
            if (!doubt.isEmpty()) {
                rules.breach(world.nowMs(), "doubt ends", "n" + node + " is still in doubt: " + doubt);
            }
        }
    }

    public PeersRules rules() {
        return rules;
    }

    public long words() {
        return words;
    }
}
