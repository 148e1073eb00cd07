package spartrail.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerMessage.Kind;

/**
 * Probes other nodes: each round one in turn, by way of relays where it doesn't answer; beside the rounds those whom this node
 * suspects and one of the departed. The target of a round that neither answers nor is found by a relay is accused.
 */
final class FailureDetector {
    /** Relays that are asked to probe the target of a round that doesn't answer. */
    static final int RELAYS = 3;

    /** Suspects that are probed in one interval beside the rounds. */
    static final int SUSPECTS_PER_INTERVAL = 4;

    private static final int MAX_OUTSTANDING_PROBES = 64;
    /** Rounds from one probe of a departed peer to the next. */
    private static final int DEPARTED_PROBE_ROUNDS = 2;

    /** The probe of one round. */
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
    /** Names of peers probed lately by nonce, so that a late acknowledgement counts, too. */
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

    /** Ends the former round and returns how long the next one lasts. */
    double nextRound() {
        finishProbe();
        rounds++;
        double jitter = 0.9 + 0.2 * context.random().nextDouble();
        return context.timings().probeIntervalMs() * health.timeoutFactor() * jitter;
    }

    /** Probes the next peer in a round that lasts so long. */
    void probeNext(double intervalMs) {
        Peer target = probeOrder.next();
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
        // Relays that don't even say that they found nobody speak against this node, not against the target: else a
        // node
        // that is slow itself would take others for dead.
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

    /** Forgets the round: after a pause of this process its target is not to blame. */
    void abandonProbe() {
        currentProbe = null;
    }

    // ---- Beside the rounds ----

    /** An acknowledgement counts, a missing one doesn't. */
    void probe(Peer peer) {
        peer.probedSinceChange = true;
        ping(peer, context.random().nextLong());
    }

    /**
     * Probes one of the departed every other round: so those behind a cut find each other again, and a node that has left and
     * started again where no seed can tell it of the others. Walks over all peers.
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
     * Probes some of those whom this node suspects, whatever its own health: when many come out of a cut at once, all of them
     * with long rounds, a suspect would else hear of the suspicion too late to refute it. Walks over all peers.
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

    /** Whether a probe of that peer with that nonce is outstanding; it is so no longer. */
    boolean takeOutstanding(long nonce, String name) {
        return name.equals(outstandingProbes.remove(nonce));
    }

    /** A peer has acknowledged a probe of this node. */
    void onAck(Peer peer, long nonce) {
        onSignOfLife(1);
        if (currentProbe != null && currentProbe.nonce == nonce && currentProbe.target == peer) {
            currentProbe.acknowledged = true;
            health.improve();
        }
    }

    /** Whether a relay's answer belongs to the present round and its target. */
    boolean isForCurrentProbe(long nonce, PeerDescriptor target) {
        return currentProbe != null
                && currentProbe.nonce == nonce
                && target.name().equals(currentProbe.target.descriptor.name());
    }

    /** A relay has found the present round's target, in this incarnation. */
    void onIndirectAck(Incarnation found) {
        if (found.compareTo(currentProbe.incarnation) >= 0) {
            currentProbe.acknowledged = true;
            onSignOfLife(0);
        }
    }

    /** A relay has had no answer. One that comes twice must not count for two relays. */
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
