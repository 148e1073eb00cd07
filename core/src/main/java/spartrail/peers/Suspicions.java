package spartrail.peers;

import java.util.function.Consumer;

/**
 * Suspects peers and declares them gone if they do not refute the suspicion in time. The timeout follows Lifeguard: it
 * is longest while a single node suspects the peer, and each confirmation by another node shortens it.
 */
final class Suspicions {
    /** Number of confirmations, after the first suspecting node, at which the timeout reaches its minimum. */
    private static final int MAX_CONFIRMATIONS = 3;

    /** The timeout while only one node suspects the peer, as a multiple of the minimum timeout. */
    private static final double MAX_SUSPICION_FACTOR = 3;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final LocalHealth health;
    private final StateTransitions transitions;
    private final Dissemination dissemination;
    private final Consumer<Peer> probe;

    Suspicions(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            LocalHealth health,
            StateTransitions transitions,
            Dissemination dissemination,
            Consumer<Peer> probe) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.health = health;
        this.transitions = transitions;
        this.dissemination = dissemination;
        this.probe = probe;
    }

    /** Starts a suspicion, or confirms it, on behalf of the given node, which may be this node itself. */
    void suspect(Peer peer, String suspectingPeer, String reason) {
        if (!peer.state.isPresent() || suspectingPeer.isEmpty() || peer.suspectingPeers.contains(suspectingPeer)) {
            return;
        }
        if (peer.state != PeerState.SUSPECT) {
            transitions.apply(peer.descriptor, PeerState.SUSPECT, local.name(), 0, reason);
        }
        if (peer.suspectingPeers.isEmpty()) {
            peer.suspectedSinceMs = context.nowMs();
        }
        if (peer.suspectingPeers.size() < MAX_CONFIRMATIONS + 1) {
            peer.suspectingPeers.add(suspectingPeer);
            dissemination.enqueue(peer, Math.min(peer.transmissions, 1));
        }
        if (peer.timer != null) {
            context.cancel(peer.timer);
        }
        double deadlineMs = peer.suspectedSinceMs + suspicionTimeoutMs(peer.suspectingPeers.size());
        peer.timer = context.schedule(Math.max(context.nowMs(), deadlineMs), () -> onTimeout(peer));
    }

    private double suspicionTimeoutMs(int suspectingPeers) {
        int presentCount = table.presentCount();
        double minMs = context.timings().minSuspicionMs(presentCount);
        double maxMs = MAX_SUSPICION_FACTOR * minMs;
        int expectedConfirmations = Math.min(MAX_CONFIRMATIONS, Math.max(0, presentCount - 3));
        double confirmedRatio =
                expectedConfirmations == 0 ? 1 : Math.log(suspectingPeers) / Math.log(expectedConfirmations + 1);
        return Math.max(minMs, maxMs - (maxMs - minMs) * confirmedRatio);
    }

    private void onTimeout(Peer peer) {
        peer.timer = null;
        if (!health.maySuspect()) {
            extendByOneInterval(peer);
            return;
        }
        if (!peer.probedSinceChange) {
            // A node that only learned of a suspicion from others may receive its refutation late when many updates are
            // queued, so no node declares a suspect gone without having probed it itself.
            probe.accept(peer);
            extendByOneInterval(peer);
            return;
        }
        String suspectingPeers = String.join(", ", peer.suspectingPeers);
        long suspectedMs = Math.round(context.nowMs() - peer.suspectedSinceMs);
        transitions.apply(
                peer.descriptor,
                PeerState.GONE,
                local.name(),
                0,
                "accused by " + suspectingPeers + ", and it did not refute that in " + suspectedMs + " ms");
    }

    private void extendByOneInterval(Peer peer) {
        double untilMs = context.nowMs() + context.timings().probeIntervalMs();
        peer.timer = context.schedule(untilMs, () -> onTimeout(peer));
    }

    /** Restarts all suspicions, with this node as the only suspecting node. */
    void restartAll() {
        for (Peer peer : table.peers()) {
            if (peer.state == PeerState.SUSPECT) {
                peer.suspectingPeers.clear();
                peer.suspectedSinceMs = context.nowMs();
                suspect(peer, local.name(), peer.reason);
            }
        }
    }

    /**
     * Postpones all timers of suspects and departed peers by the length of a pause, in which no node could reach this
     * one.
     */
    void postponeAll(double pausedMs) {
        for (Peer peer : table.peers()) {
            if (peer.timer != null) {
                context.cancel(peer.timer);
                peer.suspectedSinceMs += pausedMs;
                peer.timer = context.schedule(peer.timer.dueMs() + pausedMs, peer.timer.action());
            }
        }
    }
}
