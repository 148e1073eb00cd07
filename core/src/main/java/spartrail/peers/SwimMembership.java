package spartrail.peers;

import java.util.List;
import java.util.random.RandomGenerator;
import spartrail.peers.PeerMessage.Kind;

/**
 * Which front nodes are present. SWIM (Das, Gupta, Motivala 2002) with suspicion and refutation, and Lifeguard's local health
 * (Dadgar, Phillips, Currey 2017): each round a node probes one other; a target that doesn't answer is probed by relays, then
 * suspected, then held for gone unless it refutes that. Updates ride on these messages.
 *
 * <p>What is held of a node, in this order of precedence: its incarnation, whether it has left, its refutations, its state.
 * The incarnation number of SWIM's paper is incarnation and refutations together. Updates move a node upwards only:
 *
 * <pre>
 *  from      to        when
 *  -         JOINING   its answer, or an update from a known node
 *  JOINING   ALIVE     its own message: it has heard from somebody
 *  ALIVE     SUSPECT   neither it nor a relay answered this node within a round, or an update
 *  SUSPECT   ALIVE     its own update with more refutations
 *  SUSPECT   GONE      nobody refuted the suspicion in time, or an update
 *  GONE      ALIVE     its own update with more refutations: it was behind a cut
 *  any       LEFT      its own message
 *  any       JOINING   a later incarnation of that name
 *  GONE,LEFT -         after departedRetentionMs
 * </pre>
 *
 * Invariants, by the numbers that the checkers use:
 * <ol>
 * <li>What is held of a node never goes back in that order while it is remembered.
 * <li>Only a node itself moves its refutations or says that it has left.
 * <li>No updates are taken from a sender that is not known to be present in that incarnation, nor from a message that was
 *     under way for longer than {@code maxMessageDelayMs} (and a tenth of the time since its clock was last compared).
 * <li>A node whose local health is in doubt suspects nobody and ends no suspicion: after a pause of its process, while it gets
 *     no answers, and while it runs late.
 * <li>What is sent in a second is bounded by {@link #maxMessagesPerSecond}, whatever the size of the fleet and whatever comes
 *     in.
 * </ol>
 *
 * <p>This class keeps the calls and decides which messages are trusted; each part of the state is owned by one of the classes
 * that it holds. One thread owns all of them.
 */
public final class SwimMembership {
    /** Part of the time since a sender's clock was last compared by which its messages may look late. */
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

    /** Starts an incarnation of a node. Seeds are addresses to ask who is there; the own one among them is passed over. */
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

    /** These are the seeds from now on; nodes that are known stay known. */
    public void setSeeds(List<String> addresses) {
        contacts.setSeeds(addresses);
        if (addresses.stream().allMatch(local.address()::equals) && table.size() == 0) {
            local.setAlive();
        }
    }

    /** The version of the settings that this node uses has changed; others are told. */
    public void setSettingsVersion(String version) {
        local.setSettingsVersion(version);
    }

    /**
     * The most messages that this node sends in a second, on average over any longer time: its rounds, relays, contacts,
     * suspects, departed peers, and further ones while views differ (a round is at least nine tenths of its length); and what
     * others ask of it: an answer, or the two messages of an indirect probe.
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

    /** When {@link #advance} is to be called next, if no message comes before. */
    public double nextMs() {
        return context.nextTimerMs();
    }

    /** Does what is due by now. */
    public void advance(double atMs) {
        moveTo(atMs);
        context.runTimers(atMs);
        pauseDetector.expectAt(Math.max(atMs, context.nextTimerMs()));
    }

    private void moveTo(double atMs) {
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
     * Nobody could answer this process during its pause, so nobody is to blame: a node that wakes up would else hold all
     * others for gone and, believed, take the fleet apart.
     */
    private void onProcessPause(double lastedMs) {
        health.onPause(lastedMs);
        failureDetector.abandonProbe();
        relay.abandonAll();
        suspicions.postponeAll(lastedMs);
    }

    private void runRound() {
        double intervalMs = failureDetector.nextRound();
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

    /** A message has come. */
    public void onMessage(PeerMessage message, double atMs) {
        moveTo(atMs);
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
            // However old the message is and whatever is held of its sender: an incarnation that has left stays so.
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

    /** A clock that was set back makes a new incarnation look like a former one; the answer makes it begin a later one. */
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

    /** A sender that isn't known, or is held for gone, is asked itself first: its message may be an hour old. */
    private void onUnknownSender(PeerMessage message) {
        context.increment(MembershipCounter.UNKNOWN_SENDER_MESSAGES);
        String address = message.sender().address();
        if (contacts.add(address) && rateLimiter.tryAcquire(false)) {
            contacts.probe(address);
        }
    }

    /**
     * Updates are taken from trusted senders. What a fresh acknowledgement says of this node itself it may refute, whoever
     * says so: two sides of a cut that hold each other for gone would else trust no update that they are not.
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

    /** Takes what an acknowledgement says of its sender, if this node has asked for it lately; returns whether it has. */
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
            PeerUpdate found = new PeerUpdate(target, PeerState.ALIVE, 0, "");
            updateHandler.apply(found, message.sender().name());
            failureDetector.onIndirectAck(target.incarnation());
        }
    }

    private void applySender(PeerMessage message, String reason) {
        PeerDescriptor sender = message.sender();
        transitions.apply(sender, message.state(), sender.name(), message.incarnationAgeMs(), reason);
    }

    /** Says at once that this node ends, to as many as spread it. */
    public void leave(double atMs) {
        moveTo(atMs);
        if (local.hasLeft()) {
            return;
        }
        local.leave();
        events.record(local.descriptor(), PeerState.ALIVE, PeerState.LEFT, local.name(), "it ends");
        int maxRecipients = 2 + 2 * (32 - Integer.numberOfLeadingZeros(table.size()));
        List<Peer> recipients = table.sampleAlive(maxRecipients, "");
        // Those that are suspected, gone or joining may be alive; where hardly anybody else is left they are told, too.
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

    /** Messages to be sent now; each is handed out once. */
    public List<OutgoingMessage> drainMessages() {
        return outbox.drain();
    }

    /** Changes since the last call, at most the latest thousand. */
    public List<PeerEvent> drainEvents() {
        return events.drain();
    }

    /** This node as it describes itself to others. */
    public PeerDescriptor self() {
        return local.descriptor();
    }

    /** What this node knows of all nodes, itself included. */
    public MembershipView buildView(double atMs) {
        return viewBuilder.build(atMs);
    }
}
