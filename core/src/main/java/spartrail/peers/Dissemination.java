package spartrail.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Which updates ride on which message. A change of a peer is sent a number of times that grows with the logarithm of the
 * fleet; what that misses is found by digests. Once two views are known to differ, messages carry the rest of the view in
 * turns as well, and for a while this node sends more of them, so that a hundred that start at once know each other in
 * seconds.
 */
final class Dissemination {
    /** Messages beside the probes that are sent in one probe interval while views differ. */
    static final int RECONCILIATION_PROBES_PER_INTERVAL = 5;

    private static final int RETRANSMIT_MULTIPLIER = 4;
    private static final int RECONCILIATION_INTERVALS = 4;
    /** While it knows fewer alive peers a node that has just started asks only the seeds. */
    private static final int MIN_ALIVE_TO_RECONCILE = 8;
    /** What a descriptor usually takes in a message; what this node's takes beyond that is left for updates no more. */
    private static final int USUAL_DESCRIPTOR_BYTES = 100;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final NameConflict nameConflict;
    private final LocalHealth health;
    private final Consumer<Peer> probe;
    /** Peers that have changed: first those of which nobody has been told yet, then the others by turns. */
    private final Deque<Peer> unsent = new ArrayDeque<>();

    private final Deque<Peer> sent = new ArrayDeque<>();
    /** Of whom others are told next while views differ. */
    private final Deque<String> reconciliationOrder = new ArrayDeque<>();

    private double reconcileUntilMs = Double.NEGATIVE_INFINITY;

    Dissemination(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            NameConflict nameConflict,
            LocalHealth health,
            Consumer<Peer> probe) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.nameConflict = nameConflict;
        this.health = health;
        this.probe = probe;
    }

    /** A peer has changed; others have been told of it so many times already. */
    void enqueue(Peer peer, int transmissions) {
        peer.transmissions = transmissions;
        if (!peer.queuedForDissemination) {
            peer.queuedForDissemination = true;
            unsent.add(peer);
        }
    }

    // ---- Selection ----

    /** Updates for a message to that peer; null where it isn't known. */
    List<PeerUpdate> selectFor(Peer recipient) {
        return selectFor(recipient, null);
    }

    /**
     * The same for a message that bears a target's descriptor, too. First what this node holds against the recipient, which
     * it may refute; then changes; then, while views differ, the next ones of the rest.
     */
    List<PeerUpdate> selectFor(Peer recipient, PeerDescriptor target) {
        UpdateBatch batch = new UpdateBatch(bytesForUpdates(target));
        if (recipient != null && recipient.state != PeerState.ALIVE && recipient.state != PeerState.JOINING) {
            batch.add(recipient);
        }
        List<Peer> handled = new ArrayList<>();
        addChanged(unsent, recipient, batch, handled);
        addChanged(sent, recipient, batch, handled);
        int maxTransmissions = (int) Math.ceil(RETRANSMIT_MULTIPLIER * Math.log10(table.size() + 2));
        for (Peer peer : handled) {
            peer.queuedForDissemination = peer.queuedForDissemination && peer.transmissions < maxTransmissions;
            if (peer.queuedForDissemination) {
                sent.add(peer);
            }
        }
        if (context.nowMs() < reconcileUntilMs) {
            addNextOfView(recipient, batch, handled);
        }
        return batch.updates;
    }

    /** Descriptors with long texts would make a message too large for a datagram, and the node mute. */
    private int bytesForUpdates(PeerDescriptor target) {
        int localExcess = Math.max(0, local.descriptor().maxEncodedBytes() - USUAL_DESCRIPTOR_BYTES);
        int targetBytes = target == null ? 0 : target.maxEncodedBytes();
        return context.timings().maxUpdateBytes() - localExcess - targetBytes;
    }

    private void addChanged(Deque<Peer> queue, Peer recipient, UpdateBatch batch, List<Peer> handled) {
        for (int i = queue.size(); i > 0 && (queue.peek() == recipient || batch.hasRoomFor(queue.peek())); i--) {
            Peer peer = queue.poll();
            if (peer != recipient && peer.queuedForDissemination && !handled.contains(peer)) {
                batch.add(peer);
                peer.transmissions++;
            }
            handled.add(peer);
        }
    }

    private void addNextOfView(Peer recipient, UpdateBatch batch, List<Peer> handled) {
        for (int i = table.size(); i > 0; i--) {
            if (reconciliationOrder.isEmpty()) {
                List<String> names = table.sortedNames(peer -> true);
                context.shuffle(names);
                reconciliationOrder.addAll(names);
            }
            Peer peer = table.get(reconciliationOrder.peek());
            if (peer != null && !batch.hasRoomFor(peer)) {
                return;
            }
            reconciliationOrder.poll();
            if (peer != null && peer != recipient && !handled.contains(peer)) {
                batch.add(peer);
            }
        }
    }

    /** Updates of one message, up to a number of bytes. */
    private final class UpdateBatch {
        private final List<PeerUpdate> updates = new ArrayList<>();
        private int remainingBytes;

        UpdateBatch(int remainingBytes) {
            this.remainingBytes = remainingBytes;
        }

        boolean hasRoomFor(Peer peer) {
            return peer.maxEncodedBytes() <= remainingBytes;
        }

        void add(Peer peer) {
            updates.add(toUpdate(peer));
            remainingBytes -= peer.maxEncodedBytes();
        }
    }

    /** What this node says of a peer. */
    PeerUpdate toUpdate(Peer peer) {
        return new PeerUpdate(
                peer.descriptor, peer.state, peer.incarnationAgeMs(context.nowMs()), suspectingPeerToReport(peer));
    }

    /** This node itself where it suspects the peer, else the first one that does; empty where nobody does. */
    private String suspectingPeerToReport(Peer peer) {
        if (peer.state != PeerState.SUSPECT || peer.suspectingPeers.isEmpty()) {
            return "";
        }
        return peer.suspectingPeers.contains(local.name()) ? local.name() : peer.suspectingPeers.get(0);
    }

    // ---- Reconciliation ----

    /** Views differ: this node talks to more nodes for a while. */
    void startReconciliation() {
        if (context.nowMs() >= reconcileUntilMs) {
            context.schedule(
                    context.nowMs()
                            + reconciliationIntervalMs() * context.random().nextDouble(),
                    this::reconcile);
        }
        reconcileUntilMs =
                context.nowMs() + RECONCILIATION_INTERVALS * context.timings().probeIntervalMs();
    }

    private void reconcile() {
        if (context.nowMs() >= reconcileUntilMs || local.hasLeft() || nameConflict.isNameLost()) {
            return;
        }
        // Hundreds that start at once know only the seeds, and would ask nobody else ever faster.
        if (!health.isBootstrapping() || table.aliveCount() >= MIN_ALIVE_TO_RECONCILE) {
            table.sampleAlive(1, "").forEach(probe);
        }
        context.schedule(context.nowMs() + reconciliationIntervalMs(), this::reconcile);
    }

    private double reconciliationIntervalMs() {
        return context.timings().probeIntervalMs() / RECONCILIATION_PROBES_PER_INTERVAL;
    }
}
