package spartrail.peers;

import java.util.function.Consumer;

/**
 * Suspected peers and the time that they have to refute it, after Lifeguard: it is longest while one node accuses, and each
 * further accuser makes it shorter.
 */
final class Suspicions {
    /** Accusers beside the first one that make the time as short as it gets. */
    private static final int MAX_CONFIRMATIONS = 3;

    /** The time while only one node accuses, in shortest times. */
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

    /** That node, this one or another, accuses the peer of not answering. */
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
        double deadlineMs = peer.suspectedSinceMs + timeToRefuteMs(peer.suspectingPeers.size());
        peer.timer = context.schedule(Math.max(context.nowMs(), deadlineMs), () -> onTimeout(peer));
    }

    private double timeToRefuteMs(int suspectingPeers) {
        int presentCount = table.presentCount();
        double minMs = context.timings().minSuspicionMs(presentCount);
        double maxMs = MAX_SUSPICION_FACTOR * minMs;
        int expectedConfirmations = Math.min(MAX_CONFIRMATIONS, Math.max(0, presentCount - 3));
        double confirmed =
                expectedConfirmations == 0 ? 1 : Math.log(suspectingPeers) / Math.log(expectedConfirmations + 1);
        return Math.max(minMs, maxMs - (maxMs - minMs) * confirmed);
    }

    private void onTimeout(Peer peer) {
        peer.timer = null;
        if (!health.maySuspect()) {
            extendByOneInterval(peer);
            return;
        }
        if (!peer.probedSinceChange) {
            // Who was only told of a suspicion hears of its refutation late where there is much to tell, so nobody ends
            // one
            // without having probed the suspect itself.
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

    /** All suspicions begin anew with this node as their only accuser. */
    void restartAll() {
        for (Peer peer : table.peers()) {
            if (peer.state == PeerState.SUSPECT) {
                peer.suspectingPeers.clear();
                peer.suspectedSinceMs = context.nowMs();
                suspect(peer, local.name(), peer.reason);
            }
        }
    }

    /** This process paused, so nobody could reach it: all timers of suspicions and departed peers end so much later. */
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
