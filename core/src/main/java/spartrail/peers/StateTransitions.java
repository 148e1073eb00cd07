package spartrail.peers;

/**
 * Changes the descriptors and states of peers, only to a higher precedence of {@link PeerUpdate}. No other class does.
 */
final class StateTransitions {
    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final ProbeOrder probeOrder;
    private final Dissemination dissemination;
    private final EventLog events;

    StateTransitions(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            ProbeOrder probeOrder,
            Dissemination dissemination,
            EventLog events) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.probeOrder = probeOrder;
        this.dissemination = dissemination;
        this.events = events;
    }

    /** Applies a descriptor and state if they outrank the peer's current ones. */
    void apply(PeerDescriptor descriptor, PeerState state, String reporter, double incarnationAgeMs, String reason) {
        Peer peer = table.get(descriptor.name());
        if (peer != null && PeerUpdate.comparePrecedence(descriptor, state, peer.descriptor, peer.state) <= 0) {
            return;
        }
        PeerState previousState = peer == null ? null : peer.state;
        if (peer == null) {
            if (table.size() >= context.timings().maxPeers() && !evictOldestDeparted()) {
                context.increment(MembershipCounter.PEERS_REJECTED);
                return;
            }
            peer = new Peer(descriptor);
            table.add(peer);
            probeOrder.insert(descriptor.name());
        }
        boolean isSameIncarnation = peer.hasIncarnation(descriptor.incarnation());
        if (!isSameIncarnation) {
            peer.resetIncarnation();
        }
        if (previousState != state || !isSameIncarnation) {
            peer.stateSinceMs = context.nowMs();
        }
        clearTimerAndSuspicion(peer);
        peer.descriptor = descriptor;
        peer.state = state;
        peer.reporter = reporter;
        peer.reason = reason;
        peer.learnAge(incarnationAgeMs, context.nowMs());
        table.updatePresence(peer);
        table.updateDigest(peer);
        dissemination.enqueue(peer, 0);
        if (!state.isPresent()) {
            scheduleForget(peer);
        }
        events.record(descriptor, previousState, state, reporter, reason);
    }

    private void clearTimerAndSuspicion(Peer peer) {
        if (peer.timer != null) {
            context.cancel(peer.timer);
            peer.timer = null;
        }
        peer.suspectingPeers.clear();
        peer.probedSinceChange = false;
    }

    private void scheduleForget(Peer peer) {
        double untilMs = context.nowMs() + context.timings().departedRetentionMs();
        peer.timer = context.schedule(untilMs, () -> forget(peer));
    }

    private void forget(Peer peer) {
        table.remove(peer);
        peer.queuedForDissemination = false;
        events.record(peer.descriptor, peer.state, null, local.name(), "nothing heard of it for long");
    }

    /** Makes room for another peer; returns false if no peer has departed. */
    private boolean evictOldestDeparted() {
        Peer oldest = table.oldestDeparted().orElse(null);
        if (oldest == null) {
            return false;
        }
        context.cancel(oldest.timer);
        forget(oldest);
        return true;
    }
}
