package spartrail.peers;

/** Applies the updates of received messages to the peer table, and refutes wrong updates about this node. */
final class UpdateHandler {
    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final LocalHealth health;
    private final NameConflict nameConflict;
    private final StateTransitions transitions;
    private final Suspicions suspicions;
    private final Dissemination dissemination;
    private final EventLog events;

    UpdateHandler(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            LocalHealth health,
            NameConflict nameConflict,
            StateTransitions transitions,
            Suspicions suspicions,
            Dissemination dissemination,
            EventLog events) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.health = health;
        this.nameConflict = nameConflict;
        this.transitions = transitions;
        this.suspicions = suspicions;
        this.dissemination = dissemination;
        this.events = events;
    }

    /** Applies an update that the node {@code reporter} has sent. */
    void apply(PeerUpdate update, String reporter) {
        PeerDescriptor descriptor = update.descriptor();
        if (!descriptor.isWellFormed()) {
            context.increment(MembershipCounter.MALFORMED_DESCRIPTORS);
        } else if (descriptor.name().equals(local.name())) {
            applyToLocal(update, reporter);
        } else {
            applyToPeer(update, reporter);
        }
    }

    private void applyToPeer(PeerUpdate update, String reporter) {
        PeerDescriptor descriptor = update.descriptor();
        Peer known = table.get(descriptor.name());
        if (known == null && !update.state().isPresent()) {
            // Otherwise nodes would pass on a departed peer forever, telling it to those that have already forgotten
            // it.
            return;
        }
        String suspicionReason = "accused by " + update.suspectingPeer();
        if (known != null && isConfirmation(update, known)) {
            suspicions.suspect(known, update.suspectingPeer(), suspicionReason);
        }
        transitions.apply(
                descriptor,
                update.state(),
                reporter,
                update.incarnationAgeMs(),
                update.suspectingPeer().isEmpty() ? "told" : suspicionReason);
        Peer peer = table.get(descriptor.name());
        if (peer == null || !peer.hasIncarnation(descriptor.incarnation())) {
            return;
        }
        peer.learnAge(update.incarnationAgeMs(), context.nowMs());
        if (update.state() == PeerState.SUSPECT && peer.state == PeerState.SUSPECT && peer.suspectingPeers.isEmpty()) {
            suspicions.suspect(peer, update.suspectingPeer(), suspicionReason);
        }
    }

    private static boolean isConfirmation(PeerUpdate update, Peer peer) {
        return update.state() == PeerState.SUSPECT
                && peer.state == PeerState.SUSPECT
                && peer.hasIncarnation(update.descriptor().incarnation())
                && peer.descriptor.refutations() == update.descriptor().refutations();
    }

    private void applyToLocal(PeerUpdate update, String reporter) {
        int order = update.descriptor().incarnation().compareTo(local.incarnation());
        if (order > 0) {
            nameConflict.onSameName(update.descriptor(), false);
        } else if (order == 0 && update.state() == PeerState.LEFT) {
            startIncarnationAfterLeft();
        } else if (order == 0
                && update.state().compareTo(PeerState.ALIVE) > 0
                && update.descriptor().refutations() >= local.descriptor().refutations()) {
            refute(update, reporter);
        }
    }

    /** Starts another incarnation: an update that an incarnation has left cannot be refuted within that incarnation. */
    private void startIncarnationAfterLeft() {
        if (!local.hasLeft()) {
            context.increment(MembershipCounter.REPORTED_AS_LEFT);
            local.startIncarnationAfter(local.incarnation());
        }
    }

    private void refute(PeerUpdate update, String reporter) {
        health.worsen(1);
        context.increment(MembershipCounter.REFUTATIONS);
        local.refute(update.descriptor().refutations());
        // Poor local health lengthens this node's rounds, so rounds alone could spread the refutation too late.
        dissemination.startReconciliation();
        String suspectingPeer = update.suspectingPeer().isEmpty() ? reporter : update.suspectingPeer();
        events.record(
                local.descriptor(),
                update.state(),
                local.state(),
                reporter,
                "refuted what " + suspectingPeer + " said");
    }
}
