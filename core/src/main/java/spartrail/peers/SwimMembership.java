package spartrail.peers;

import java.util.List;
import java.util.random.RandomGenerator;
import spartrail.peers.PeerMessage.Kind;

/**
 * Tracks which front nodes are present, by SWIM (Das, Gupta, Motivala 2002) with suspicion and refutation, and with
 * Lifeguard's local health (Dadgar, Phillips, Currey 2017). Each round a node probes one other node. A target that does
 * not answer is probed by relays, then suspected, then declared gone unless it refutes the suspicion. Updates are
 * piggybacked on these messages.
 *
 * <p>What is known about a node has this order of precedence: its incarnation, whether it has left, its refutations,
 * its state. The incarnation number of the SWIM paper corresponds to incarnation and refutations together. Updates only
 * move a node upwards:
 *
 * <pre>
 *  from      to        when
 *  -         JOINING   its answer, or an update from a known node
 *  JOINING   ALIVE     its own message, sent after another node has answered it
 *  ALIVE     SUSPECT   neither it nor a relay answered this node within a round, or an update
 *  SUSPECT   ALIVE     its own update with more refutations
 *  SUSPECT   GONE      the suspicion was not refuted in time, or an update
 *  GONE      ALIVE     its own update with more refutations: there was a network partition
 *  any       LEFT      its own message
 *  any       JOINING   a later incarnation of that name
 *  GONE,LEFT -         after departedRetentionMs
 * </pre>
 *
 * Invariants, by the numbers that the checkers use:
 * <ol>
 * <li>What is known about a node never moves back in that order while the node is remembered.
 * <li>Only a node itself increases its refutations or announces that it has left.
 * <li>No updates are accepted from a sender that is not known to be present in that incarnation, nor from a message
 *     whose transit time exceeds {@code maxMessageDelayMs} plus a tenth of the time since the sender's clock was last
 *     compared.
 * <li>A node with poor local health neither suspects peers nor declares suspects gone: after a pause of its process,
 *     while it gets no answers, and while it runs late.
 * <li>The number of messages sent per second is bounded by {@link #maxMessagesPerSecond}, regardless of the fleet size
 *     and of incoming messages.
 * </ol>
 *
 * <p>This class is the entry point of the package and decides which messages are trusted. Each part of the state is
 * owned by one of its collaborators. One thread owns all of them.
 */
public final class SwimMembership {
    /** Fraction of the time since a sender's clock was last compared that is tolerated as additional message delay. */
    private static final double MAX_CLOCK_DRIFT = 0.1;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final PauseDetector pauseDetector;
    private final EventLog events;
    private final Outbox outbox;
    private final AnswerRateLimiter rateLimiter;
    private final ContactList contacts;
    private final NameConflict nameConflict;
    private final LocalHealth health;
    private final Dissemination dissemination;
    private final StateTransitions transitions;
    private final Suspicions suspicions;
    private final FailureDetector failureDetector;
    private final IndirectProbeRelay relay;
    private final UpdateHandler updateHandler;
    private final ViewBuilder viewBuilder;

    /** Starts an incarnation of a node. Seeds are addresses to probe first; this node's own address is skipped. */
    public SwimMembership(
            PeerDescriptor descriptor,
            List<String> seeds,
            GossipTimings timings,
            RandomGenerator random,
            double nowMs) {
        context = new MembershipContext(timings, random, nowMs);
        local = new LocalPeer(descriptor, context);
        table = new PeerTable(context);
        pauseDetector = new PauseDetector(timings, nowMs);
        events = new EventLog(context, this::healthProblem);
        outbox = new Outbox(context, local, table);
        rateLimiter = new AnswerRateLimiter(context);
        contacts = new ContactList(context, local, table, outbox);
        nameConflict = new NameConflict(context, local, contacts, events);
        health = new LocalHealth(context, local, table, nameConflict, pauseDetector);
        dissemination = new Dissemination(context, local, table, nameConflict, health, this::probe);
        ProbeOrder probeOrder = new ProbeOrder(context, table);
        transitions = new StateTransitions(context, local, table, probeOrder, dissemination, events);
        suspicions = new Suspicions(context, local, table, health, transitions, dissemination, this::probe);
        failureDetector =
                new FailureDetector(context, local, table, health, probeOrder, dissemination, suspicions, outbox);
        relay = new IndirectProbeRelay(context, table, dissemination, rateLimiter, outbox);
        updateHandler = new UpdateHandler(
                context, local, table, health, nameConflict, transitions, suspicions, dissemination, events);
        viewBuilder = new ViewBuilder(context, local, table, contacts, health);
        setSeeds(seeds);
        context.schedule(nowMs, this::runRound);
        context.schedule(nowMs + timings.probeIntervalMs() * random.nextDouble(), this::probeSuspects);
    }

    private String healthProblem() {
        return health.describeProblem();
    }

    private void probe(Peer peer) {
        failureDetector.probe(peer);
    }

    /** Replaces the seeds. Known nodes remain known. */
    public void setSeeds(List<String> addresses) {
        contacts.setSeeds(addresses);
        if (addresses.stream().allMatch(local.address()::equals) && table.size() == 0) {
            local.setAlive();
        }
    }

    /** Announces the settings version that this node uses to the other nodes. */
    public void setSettingsVersion(String version) {
        local.setSettingsVersion(version);
    }

    /**
     * Upper bound of the messages that this node sends per second, averaged over a longer time. Its own messages are
     * the round's probe, requests to relays, probes of contacts, suspects and departed peers, and additional probes
     * while views differ; jitter shortens a round to nine tenths of its length at most. On request of other nodes it
     * sends an answer, or the two messages of an indirect probe.
     */
    public static double maxMessagesPerSecond(GossipTimings timings) {
        int target = 1;
        int departed = 1;
        int perInterval = target
                + FailureDetector.RELAYS
                + ContactList.CONTACTS_PER_INTERVAL
                + FailureDetector.SUSPECTS_PER_INTERVAL
                + departed
                + Dissemination.RECONCILIATION_PROBES_PER_INTERVAL;
        return perInterval * 1000 / (0.9 * timings.probeIntervalMs()) + 2.0 * timings.maxAnswersPerSecond();
    }

    // ---- Time ----

    /** When {@link #advance} has to be called next if no message arrives earlier. */
    public double nextMs() {
        return context.nextTimerMs();
    }

    /** Runs the timers that are due at that time. */
    public void advance(double atMs) {
        advanceClock(atMs);
        context.runTimers(atMs);
        pauseDetector.expectAt(Math.max(atMs, context.nextTimerMs()));
    }

    private void advanceClock(double atMs) {
        double latenessMs = pauseDetector.latenessMs(atMs);
        context.advanceTo(atMs);
        if (latenessMs >= 0) {
            boolean wasRunningLate = pauseDetector.isRunningLate();
            pauseDetector.recordLateness(latenessMs);
            if (wasRunningLate && health.maySuspect()) {
                suspicions.restartAll();
            }
        }
        if (pauseDetector.isPause(latenessMs)) {
            onProcessPause(latenessMs);
            pauseDetector.expectAt(atMs);
        }
    }

    /**
     * Excludes the time of a pause from all timeouts, since this process could not receive answers during it. Otherwise
     * a node that resumes would declare all others gone and, if these updates were believed, break up the fleet.
     */
    private void onProcessPause(double durationMs) {
        health.onPause(durationMs);
        failureDetector.abandonProbe();
        relay.abandonAll();
        suspicions.postponeAll(durationMs);
    }

    private void runRound() {
        double intervalMs = failureDetector.startNextRound();
        context.schedule(context.nowMs() + intervalMs, this::runRound);
        if (local.hasLeft()) {
            return;
        }
        if (contacts.probeDueContacts()) {
            nameConflict.onRound();
        }
        if (nameConflict.isNameLost()) {
            return;
        }
        failureDetector.probeDeparted();
        failureDetector.probeNext(intervalMs);
    }

    private void probeSuspects() {
        context.schedule(context.nowMs() + context.timings().probeIntervalMs(), this::probeSuspects);
        if (!local.hasLeft() && !nameConflict.isNameLost()) {
            failureDetector.probeSuspects();
        }
    }

    // ---- Messages ----

    /** Handles a received message. */
    public void onMessage(PeerMessage message, double atMs) {
        advanceClock(atMs);
        pauseDetector.onMessage(atMs);
        if (!message.sender().isWellFormed()) {
            context.increment(MembershipCounter.MALFORMED_DESCRIPTORS);
            return;
        }
        boolean isFreshAck = message.kind() == Kind.ACK && acceptAck(message);
        if (message.sender().name().equals(local.name())) {
            onOwnName(message, isFreshAck);
        } else if (!nameConflict.isNameLost() && !local.hasLeft()) {
            onPeerMessage(message, isFreshAck);
        }
    }

    private void onOwnName(PeerMessage message, boolean isFreshAck) {
        boolean isFormer = message.sender().incarnation().compareTo(local.incarnation()) < 0;
        if (message.kind() == Kind.PING && isFormer && !nameConflict.isNameLost()) {
            acknowledge(message, false);
        }
        nameConflict.onSameName(message.sender(), isFreshAck);
    }

    private void onPeerMessage(PeerMessage message, boolean isFreshAck) {
        Peer sender = table.get(message.sender().name());
        boolean isSameIncarnation =
                sender != null && sender.hasIncarnation(message.sender().incarnation());
        if (isSameIncarnation && message.state() == PeerState.LEFT) {
            // Applies even to an old message and in any state of the sender, because an incarnation that has left stays
            // left.
            applySender(message, "it says so");
            return;
        }
        boolean isTrusted = isSameIncarnation && sender.state.isPresent();
        if (isTrusted && isStale(message, sender)) {
            context.increment(MembershipCounter.STALE_MESSAGES);
            return;
        }
        if (!isTrusted && sender != null && isOfFormerIncarnation(message, sender)) {
            onFormerIncarnation(message);
            return;
        }
        if (isTrusted) {
            onTrustedSender(message);
        } else {
            onUnknownSender(message);
        }
        applyUpdates(message, isTrusted, isFreshAck);
        answer(message, isTrusted);
    }

    private boolean isStale(PeerMessage message, Peer sender) {
        double nowMs = context.nowMs();
        double maxDelayMs =
                context.timings().maxMessageDelayMs() + MAX_CLOCK_DRIFT * sender.sinceStartEstimateMs(nowMs);
        return sender.messageDelayMs(message.incarnationAgeMs(), nowMs) > maxDelayMs;
    }

    private static boolean isOfFormerIncarnation(PeerMessage message, Peer sender) {
        return message.sender().incarnation().compareTo(sender.descriptor.incarnation()) < 0;
    }

    /**
     * Answers a ping of a former incarnation. If the sender's clock was set back, its new incarnation looks like a
     * former one; the answer makes it start a later one.
     */
    private void onFormerIncarnation(PeerMessage message) {
        context.increment(MembershipCounter.FORMER_INCARNATION_MESSAGES);
        if (message.kind() == Kind.PING) {
            acknowledge(message, false);
        }
    }

    private void onTrustedSender(PeerMessage message) {
        applySender(message, "it says so");
        if (message.digest() != outbox.viewDigest()) {
            dissemination.startReconciliation();
        } else {
            health.onEqualDigest();
        }
    }

    /** Probes a sender that is unknown or considered gone before trusting it, since its message may be an hour old. */
    private void onUnknownSender(PeerMessage message) {
        context.increment(MembershipCounter.UNKNOWN_SENDER_MESSAGES);
        String address = message.sender().address();
        if (contacts.add(address) && rateLimiter.tryAcquire(false)) {
            contacts.probe(address);
        }
    }

    /**
     * Applies the updates of a trusted sender. Updates about this node itself are also applied from a fresh
     * acknowledgement of any sender, so that this node can refute them: after a network partition each side considers
     * the other gone and trusts none of its messages, so neither would otherwise learn that it has to refute that
     * state.
     */
    private void applyUpdates(PeerMessage message, boolean isTrusted, boolean isFreshAck) {
        for (PeerUpdate update : message.updates()) {
            boolean isAboutLocal = update.descriptor().name().equals(local.name());
            if (isTrusted || isFreshAck && isAboutLocal) {
                updateHandler.apply(update, message.sender().name());
            }
        }
    }

    private void answer(PeerMessage message, boolean isTrusted) {
        switch (message.kind()) {
            case PING -> acknowledge(message, isTrusted);
            case PING_REQUEST -> relay.onPingRequest(message, isTrusted);
            case INDIRECT_ACK -> onIndirectAck(message, isTrusted);
            case INDIRECT_NACK -> {
                if (isTrusted) {
                    failureDetector.onIndirectNack(message.nonce());
                }
            }
            default -> {}
        }
    }

    private void acknowledge(PeerMessage message, boolean isTrusted) {
        if (!rateLimiter.tryAcquire(isTrusted)) {
            return;
        }
        Peer sender = table.get(message.sender().name());
        List<PeerUpdate> updates = List.of();
        if (isTrusted) {
            updates = dissemination.selectFor(sender);
        } else if (sender != null) {
            updates = List.of(dissemination.toUpdate(sender));
        }
        outbox.send(message.sender().address(), Kind.ACK, message.sender().name(), message.nonce(), null, updates);
    }

    /**
     * Handles an acknowledgement; returns whether it is fresh, which means that it answers a recent probe of this node.
     */
    private boolean acceptAck(PeerMessage message) {
        PeerDescriptor sender = message.sender();
        boolean isForRelay = relay.acceptAck(sender, message.nonce());
        boolean isFromContact = contacts.acceptAck(message.nonce());
        boolean isFromPeer = failureDetector.takeOutstanding(message.nonce(), sender.name());
        if (!isForRelay && !isFromContact && !isFromPeer) {
            context.increment(MembershipCounter.UNEXPECTED_ACKS);
            return false;
        }
        if (sender.name().equals(local.name())) {
            return true;
        }
        Peer known = table.get(sender.name());
        if (known != null && isOfFormerIncarnation(message, known)) {
            return false;
        }
        applySender(message, "it answers");
        Peer peer = table.get(sender.name());
        if (peer != null && peer.hasIncarnation(sender.incarnation())) {
            peer.onAck(message.incarnationAgeMs(), context.nowMs());
            onAck(peer, message.nonce());
        }
        return true;
    }

    private void onAck(Peer peer, long nonce) {
        failureDetector.onAck(peer, nonce);
        if (local.state() == PeerState.JOINING) {
            local.setAlive();
            events.record(
                    local.descriptor(),
                    PeerState.JOINING,
                    PeerState.ALIVE,
                    local.name(),
                    "it has heard from " + peer.descriptor.name());
        }
    }

    private void onIndirectAck(PeerMessage message, boolean isTrusted) {
        PeerDescriptor target = message.target();
        if (isTrusted && target != null && failureDetector.isForCurrentProbe(message.nonce(), target)) {
            PeerUpdate update = new PeerUpdate(target, PeerState.ALIVE, 0, "");
            updateHandler.apply(update, message.sender().name());
            failureDetector.onIndirectAck(target.incarnation());
        }
    }

    private void applySender(PeerMessage message, String reason) {
        PeerDescriptor sender = message.sender();
        transitions.apply(sender, message.state(), sender.name(), message.incarnationAgeMs(), reason);
    }

    /** Announces at once that this node leaves, to enough nodes that the update spreads to all. */
    public void leave(double atMs) {
        advanceClock(atMs);
        if (local.hasLeft()) {
            return;
        }
        local.leave();
        events.record(local.descriptor(), PeerState.ALIVE, PeerState.LEFT, local.name(), "it ends");
        int maxRecipients = 2 + 2 * (32 - Integer.numberOfLeadingZeros(table.size()));
        List<Peer> recipients = table.sampleAlive(maxRecipients, "");
        // Suspected, gone and joining peers may be alive, so they are notified too if there are too few alive peers.
        table.sortedNames(peer -> peer.state != PeerState.ALIVE && peer.state != PeerState.LEFT).stream()
                .limit(Math.max(0, maxRecipients - recipients.size()))
                .map(table::get)
                .forEach(recipients::add);
        for (Peer peer : recipients) {
            long nonce = context.random().nextLong();
            outbox.send(peer.descriptor.address(), Kind.PING, peer.descriptor.name(), nonce, null, List.of());
        }
    }

    // ---- Output ----

    /** Removes and returns the messages to be sent now. */
    public List<OutgoingMessage> drainMessages() {
        return outbox.drain();
    }

    /** Removes and returns the changes of the view since the last call, at most the latest thousand. */
    public List<PeerEvent> drainEvents() {
        return events.drain();
    }

    /** This node's descriptor, as it announces it to other nodes. */
    public PeerDescriptor self() {
        return local.descriptor();
    }

    /** Builds a view of all nodes that this node knows, itself included. */
    public MembershipView buildView(double atMs) {
        return viewBuilder.build(atMs);
    }
}
