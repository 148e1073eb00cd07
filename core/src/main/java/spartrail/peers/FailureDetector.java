package spartrail.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerMessage.Kind;

/**
 * Probes other nodes. Each round probes one peer in turn, and asks relays to probe it indirectly if it does not answer.
 * A target from which neither this node nor a relay gets an answer in the round is suspected. Besides the rounds, this
 * class probes peers that this node suspects, and departed peers.
 */
final class FailureDetector {
    /** Number of relays that are asked to probe a target that does not answer; "indirect checks" in memberlist. */
    static final int RELAYS = 3;

    /** Maximum number of suspects that are probed in one probe interval, in addition to the round's target. */
    static final int SUSPECTS_PER_INTERVAL = 4;

    private static final int MAX_OUTSTANDING_PROBES = 64;
    /** Number of rounds from one probe of a departed peer to the next. */
    private static final int DEPARTED_PROBE_ROUNDS = 2;

    /** A round's probe of its target, direct and by relays. */
    private static final class Probe {
        private final Peer target;
        private final Incarnation incarnation;
        private final long nonce;
        private boolean acknowledged;
        private int relays;
        private int nacks;

        private Probe(Peer target, long nonce) {
            this.target = target;
            this.incarnation = target.descriptor.incarnation();
            this.nonce = nonce;
        }
    }

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final LocalHealth health;
    private final ProbeOrder probeOrder;
    private final Dissemination dissemination;
    private final Suspicions suspicions;
    private final Outbox outbox;
    /** Names of recently probed peers by the probe's nonce, so that late acknowledgements are accepted. */
    private final Map<Long, String> outstandingProbes = new LinkedHashMap<>();

    private Probe currentProbe;
    private long rounds;

    FailureDetector(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            LocalHealth health,
            ProbeOrder probeOrder,
            Dissemination dissemination,
            Suspicions suspicions,
            Outbox outbox) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.health = health;
        this.probeOrder = probeOrder;
        this.dissemination = dissemination;
        this.suspicions = suspicions;
        this.outbox = outbox;
    }

    // ---- Rounds ----

    /** Ends the previous round and returns the length of the next one in milliseconds. */
    double startNextRound() {
        finishProbe();
        rounds++;
        double jitter = 0.9 + 0.2 * context.random().nextDouble();
        return context.timings().probeIntervalMs() * health.timeoutFactor() * jitter;
    }

    /** Probes the next peer, in a round of the given length. */
    void probeNext(double intervalMs) {
        Peer target = probeOrder.takeNext();
        if (target == null) {
            return;
        }
        Probe probe = new Probe(target, context.random().nextLong());
        currentProbe = probe;
        ping(target, probe.nonce);
        double timeoutMs = Math.min(context.timings().ackTimeoutMs() * health.timeoutFactor(), 0.8 * intervalMs);
        context.schedule(context.nowMs() + timeoutMs, () -> requestIndirectProbes(probe));
    }

    private void ping(Peer target, long nonce) {
        String name = target.descriptor.name();
        outstandingProbes.put(nonce, name);
        if (outstandingProbes.size() > MAX_OUTSTANDING_PROBES) {
            outstandingProbes.remove(outstandingProbes.keySet().iterator().next());
        }
        List<PeerUpdate> updates = dissemination.selectFor(target);
        outbox.send(target.descriptor.address(), Kind.PING, name, nonce, null, updates);
    }

    private void requestIndirectProbes(Probe probe) {
        if (probe != currentProbe || probe.acknowledged) {
            return;
        }
        PeerDescriptor target = probe.target.descriptor;
        for (Peer relay : table.sampleAlive(RELAYS, target.name())) {
            probe.relays++;
            List<PeerUpdate> updates = dissemination.selectFor(probe.target, target);
            outbox.send(
                    relay.descriptor.address(),
                    Kind.PING_REQUEST,
                    relay.descriptor.name(),
                    probe.nonce,
                    target,
                    updates);
        }
    }

    private void finishProbe() {
        Probe probe = currentProbe;
        currentProbe = null;
        if (probe == null || probe.acknowledged) {
            return;
        }
        if (probe.nacks > 0) {
            onSignOfLife(0);
        } else {
            health.onUnansweredRound();
        }
        // A relay that sends neither an ACK nor a NACK is evidence that this node's health is poor, not that the target
        // has failed: otherwise a node that is itself slow would declare others dead.
        health.worsen(probe.relays - probe.nacks);
        Peer peer = table.get(probe.target.descriptor.name());
        if (peer == probe.target && peer.hasIncarnation(probe.incarnation) && health.maySuspect()) {
            long intervalMs = Math.round(context.timings().probeIntervalMs());
            suspicions.suspect(
                    peer,
                    local.name(),
                    "no answer in a round of " + intervalMs + " ms, " + probe.nacks + " of " + probe.relays
                            + " helpers had none");
        }
    }

    /**
     * Abandons the current round's probe: after a pause of this process a missing answer says nothing about the target.
     */
    void abandonProbe() {
        currentProbe = null;
    }

    // ---- Additional probes ----

    /** Probes a peer outside the rounds: an acknowledgement is processed as usual, a missing one has no consequence. */
    void probe(Peer peer) {
        peer.probedSinceChange = true;
        ping(peer, context.random().nextLong());
    }

    /**
     * Probes one departed peer every other round, so that the two sides of a network partition find each other again,
     * and so that a node that has left and restarted is found even if no seed can tell it about the others. Iterates
     * over all peers.
     */
    void probeDeparted() {
        if (rounds % DEPARTED_PROBE_ROUNDS != 0) {
            return;
        }
        List<String> departed = table.sortedNames(peer -> !peer.state.isPresent());
        if (!departed.isEmpty()) {
            probe(table.get(departed.get(context.random().nextInt(departed.size()))));
        }
    }

    /**
     * Probes some of the peers that this node suspects, at intervals that do not depend on its local health. When many
     * nodes recover from a partition at once, poor health lengthens the rounds of all of them, and a suspect would
     * otherwise learn of the suspicion too late to refute it. Iterates over all peers.
     */
    void probeSuspects() {
        List<String> suspects = table.sortedNames(
                peer -> peer.state == PeerState.SUSPECT && peer.suspectingPeers.contains(local.name()));
        context.shuffle(suspects);
        for (String name : suspects.subList(0, Math.min(SUSPECTS_PER_INTERVAL, suspects.size()))) {
            probe(table.get(name));
        }
    }

    // ---- Answers ----

    /** Removes the outstanding probe with that nonce; returns whether it was sent to the peer of that name. */
    boolean takeOutstanding(long nonce, String name) {
        return name.equals(outstandingProbes.remove(nonce));
    }

    /** Handles a peer's acknowledgement of a probe that this node sent. */
    void onAck(Peer peer, long nonce) {
        onSignOfLife(1);
        if (currentProbe != null && currentProbe.nonce == nonce && currentProbe.target == peer) {
            currentProbe.acknowledged = true;
            health.improve();
        }
    }

    /** Whether a relay's answer belongs to the current round and its target. */
    boolean isForCurrentProbe(long nonce, PeerDescriptor target) {
        return currentProbe != null
                && currentProbe.nonce == nonce
                && target.name().equals(currentProbe.target.descriptor.name());
    }

    /** Handles a relay's report that the current round's target has answered, in the incarnation {@code found}. */
    void onIndirectAck(Incarnation found) {
        if (found.compareTo(currentProbe.incarnation) >= 0) {
            currentProbe.acknowledged = true;
            onSignOfLife(0);
        }
    }

    /**
     * Handles a relay's report that the target has not answered. The cap keeps duplicates from counting as more relays.
     */
    void onIndirectNack(long nonce) {
        if (currentProbe != null && currentProbe.nonce == nonce) {
            currentProbe.nacks = Math.min(currentProbe.relays, currentProbe.nacks + 1);
        }
    }

    private void onSignOfLife(int acks) {
        if (health.onSignOfLife(acks)) {
            suspicions.restartAll();
        }
    }
}
