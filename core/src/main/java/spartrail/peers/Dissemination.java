package spartrail.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Selects the updates that are piggybacked on each message. A change of a peer is transmitted a number of times that
 * grows with the logarithm of the fleet size; nodes that miss it notice by comparing view digests. Once two views are
 * known to differ, messages also carry the rest of the view in rotation, and for a while this node sends additional
 * probes, so that a hundred nodes that start at once know each other within seconds.
 */
final class Dissemination {
    /** Additional probes that are sent in one probe interval while views differ. */
    static final int RECONCILIATION_PROBES_PER_INTERVAL = 5;

    private static final int RETRANSMIT_MULTIPLIER = 4;
    private static final int RECONCILIATION_INTERVALS = 4;
    /** A node that has just started probes only its seeds until it knows this many alive peers. */
    private static final int MIN_ALIVE_TO_RECONCILE = 8;
    /** Usual size of an encoded descriptor; the excess of this node's own descriptor reduces the space for updates. */
    private static final int USUAL_DESCRIPTOR_BYTES = 100;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final NameConflict nameConflict;
    private final LocalHealth health;
    private final Consumer<Peer> probe;
    /**
     * Changed peers whose latest change has not been transmitted yet; they are selected before those in {@link #sent}.
     */
    private final Deque<Peer> unsent = new ArrayDeque<>();

    /**
     * Changed peers whose latest change has been transmitted, but not the full number of times; selected in rotation.
     */
    private final Deque<Peer> sent = new ArrayDeque<>();
    /** Names of the peers that messages carry next while views differ. */
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

    /** Queues the latest change of a peer, which has already been transmitted the given number of times. */
    void enqueue(Peer peer, int transmissions) {
        peer.transmissions = transmissions;
        if (!peer.queuedForDissemination) {
            peer.queuedForDissemination = true;
            unsent.add(peer);
        }
    }

    // ---- Selection ----

    /** Selects the updates for a message to the recipient, which is null if it is not a known peer. */
    List<PeerUpdate> selectFor(Peer recipient) {
        return selectFor(recipient, null);
    }

    /**
     * Selects the updates for a message that also carries the descriptor of a probe's target. The order is: the
     * recipient's own state if it is not alive or joining, so that the recipient can refute it; then changes; then,
     * while views differ, the next peers of the rest of the view.
     */
    List<PeerUpdate> selectFor(Peer recipient, PeerDescriptor target) {
        UpdateBatch batch = new UpdateBatch(updateBudgetBytes(target));
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

    /**
     * Leaves room for long descriptors: a message that exceeds one datagram is not sent, which would silence the node.
     */
    private int updateBudgetBytes(PeerDescriptor target) {
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

    /** The updates of one message, up to a maximum size in bytes. */
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

    /** Describes a peer as this node knows it. */
    PeerUpdate toUpdate(Peer peer) {
        return new PeerUpdate(
                peer.descriptor, peer.state, peer.incarnationAgeMs(context.nowMs()), suspectingPeerToReport(peer));
    }

    /**
     * This node's name if it suspects the peer itself, else the first suspecting node's; empty if no node suspects it.
     */
    private String suspectingPeerToReport(Peer peer) {
        if (peer.state != PeerState.SUSPECT || peer.suspectingPeers.isEmpty()) {
            return "";
        }
        return peer.suspectingPeers.contains(local.name()) ? local.name() : peer.suspectingPeers.get(0);
    }

    // ---- Reconciliation ----

    /** Sends additional probes for a while, because another node's view differs from this node's. */
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
        // When hundreds of nodes start at once, each knows only the seeds: additional probes would only overload these.
        if (!health.isBootstrapping() || table.aliveCount() >= MIN_ALIVE_TO_RECONCILE) {
            table.sampleAlive(1, "").forEach(probe);
        }
        context.schedule(context.nowMs() + reconciliationIntervalMs(), this::reconcile);
    }

    private double reconciliationIntervalMs() {
        return context.timings().probeIntervalMs() / RECONCILIATION_PROBES_PER_INTERVAL;
    }
}
