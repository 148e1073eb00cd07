package spartrail.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import spartrail.model.TimerQueue;
import spartrail.peers.MembershipView.Confidence;
import spartrail.peers.MembershipView.Entry;
import spartrail.peers.PeerMessage.Kind;

/**
 * Who of the front nodes is there. SWIM (Das, Gupta, Motivala 2002) with suspicion and turns, and Lifeguard's local health
 * (Dadgar, Phillips, Currey 2017): each round a node asks one other; who does not answer is asked by helpers, then suspected,
 * then held for gone unless it refutes. News rides on these messages.
 *
 * <p>What is held of a node, in this order: its life, whether it has left, its turn, its standing. News moves it up only:
 *
 * <pre>
 *  from      to        when
 *  -         JOINING   its answer, or word of a known node
 *  JOINING   ALIVE     it says so: it has heard from somebody
 *  ALIVE     SUSPECT   it did not answer this node nor a helper within a round, or word of it
 *  SUSPECT   ALIVE     its own word with a higher turn
 *  SUSPECT   GONE      nobody refuted it in time, or word of it
 *  GONE      ALIVE     its own word with a higher turn: it was behind a cut
 *  any       LEFT      its own word
 *  any       JOINING   a later life of that name
 *  GONE,LEFT -         after keptMs
 * </pre>
 *
 * What holds always, by the numbers that the checkers use:
 * <ol>
 * <li>What is held of a node never goes back in that order while it is remembered.
 * <li>Only a node itself moves its turn or says that it has left.
 * <li>No words are taken from a sender that is not known to be there, in that life, nor from a message that was under way
 *     for longer than {@code staleMs} (and a tenth of the time since its clock was last compared).
 * <li>A node in doubt of itself suspects nobody and ends no suspicion. It is in doubt after it stood still and while it gets
 *     no answers, until it gets some, and while it runs late.
 * <li>What is sent in a second is bounded by {@link #mostMessagesPerS}, whatever the size of the fleet and whatever comes in.
 * </ol>
 */
public final class SwimMembership {
    /** Helpers that are asked when somebody does not answer, and accusers that make a suspicion as short as it gets. */
    private static final int INDIRECT_PROBES = 3;

    private static final int MAX_CONFIRMATIONS = 3;
    /** Each piece of news is passed on so many times the decimal logarithm of the fleet; what that misses is found by digests. */
    private static final int RETRANSMIT_MULTIPLIER = 4;
    /** While views differ a node talks to so many more a round. */
    private static final int RECONCILIATION_PROBES_PER_INTERVAL = 5;
    /** The poorer a node's own health, the longer it waits; at the most so much longer. */
    private static final int MAX_HEALTH_MULTIPLIER = 4;
    /**
     * After so many rounds in a row in which neither who was asked nor a helper said a word a node takes itself for cut off: that
     * is sooner than one accuser's suspicion ends. Below so many others it cannot tell.
     */
    private static final int MAX_UNANSWERED_ROUNDS = 2;

    private static final int MIN_PEERS_TO_DETECT_CUT = 3;
    /** Answers that a node which stood still waits for before it trusts itself again. */
    private static final int ACKS_AFTER_PAUSE = 2;
    /** A node that is late by more than this part of an answer's time on average runs late; and how quickly that is learned. */
    private static final double MAX_LATENESS_RATIO = 0.125;

    private static final double LATENESS_SMOOTHING = 0.1;
    private static final int BOOTSTRAP_ROUNDS = 30;
    private static final int MIN_ALIVE_TO_RECONCILE = 8;
    /** Addresses of which nobody knows yet who is there; and how often one is asked. */
    private static final int MAX_CONTACTS = 64;

    private static final int CONTACT_ATTEMPTS = 4;
    private static final int CONTACTS_PER_INTERVAL = 4;
    private static final int SUSPECTS_PER_INTERVAL = 4;
    private static final int MAX_INDIRECT_PROBES = 128;
    private static final int MAX_OUTSTANDING_PROBES = 64;
    private static final int MAX_EVENTS = 1000;
    /** What a card usually takes in a message; what it takes beyond goes off its words. */
    private static final int USUAL_DESCRIPTOR_BYTES = 100;
    /** A contact is asked four times in these, ever more rarely; then another process of the same name counts as over. */
    private static final int CLAIMANT_TIMEOUT_ROUNDS = 16;

    /** A round in which this member was asked. */
    private static final class Probe {
        Peer target;
        Incarnation incarnation;
        long nonce;
        boolean acknowledged;
        int relays;
        int nacks;
    }

    /** An address that is to be asked who is there. */
    private static final class Contact {
        final String address;
        final boolean seed;
        long nonce;
        int attempts;
        double nextAttemptMs;

        Contact(String address, boolean seed) {
            this.address = address;
            this.seed = seed;
        }
    }

    /** Somebody asked this node to ask somebody else. */
    private record IndirectProbe(String requesterAddress, long requesterNonce, PeerDescriptor target) {}

    private final GossipTimings times;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Contact> contacts = new LinkedHashMap<>();
    private final Map<Long, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    /** Nonces of members asked lately, so that a late answer counts, too. */
    private final Map<Long, String> outstandingProbes = new LinkedHashMap<>();

    private final TimerQueue timers = new TimerQueue();
    private final List<OutgoingMessage> outbox = new ArrayList<>();
    private final Deque<PeerEvent> events = new ArrayDeque<>();
    private final Map<String, Long> counters = new TreeMap<>();
    /** Whom to ask in the next rounds. */
    private final Deque<String> probeOrder = new ArrayDeque<>();
    /** Whom to tell of next where two views differ. */
    private final Deque<String> reconciliationOrder = new ArrayDeque<>();
    /** Of whom others are to hear: first those of whom nobody has heard yet, then by turns. */
    private final Deque<Peer> newUpdates = new ArrayDeque<>();

    private final Deque<Peer> sentUpdates = new ArrayDeque<>();
    /** Those held for alive, and how many are held to be there; so that no message costs more the larger the fleet is. */
    private final List<Peer> alivePeers = new ArrayList<>();

    private int presentPeers;

    private PeerDescriptor localDescriptor;
    private PeerState localState = PeerState.JOINING;
    private final double startedMs;
    private double nowMs;
    private double expectedMs;
    private Probe currentProbe;
    private long probeRounds;
    private int healthMultiplier;
    private int unansweredRounds;
    /** Answers still wanted after a standstill; and until when views are known to differ. */
    private int acksWanted;

    private double pauseMs;
    /** How late it is on average where something is due. */
    private double meanLatenessMs;
    /** Somebody held the same as this node, once at least. */
    private boolean hasSeenEqualDigest;

    private double reconcileUntilMs = Double.NEGATIVE_INFINITY;
    private long digest;
    /**
     * A later life of this name, from elsewhere; once it has answered this process takes no part. It is asked on and on, and
     * counts as over when so many rounds have passed without an answer.
     */
    private PeerDescriptor nameClaimant;

    private PeerDescriptor nameOwner;
    private int claimantSilentRounds;
    private double answerTokens;
    private double unknownSenderTokens;
    private double tokensUpdatedMs;

    /**
     * Begins a life of a node. Seeds are addresses to ask who is there; the own one among them is passed over.
     */
    public SwimMembership(
            PeerDescriptor localDescriptor,
            List<String> seeds,
            GossipTimings times,
            RandomGenerator random,
            double nowMs) {
        this.localDescriptor = localDescriptor;
        this.times = times;
        this.random = random;
        this.nowMs = nowMs;
        this.startedMs = nowMs;
        this.tokensUpdatedMs = nowMs;
        this.answerTokens = times.maxAnswersPerSecond();
        this.unknownSenderTokens = times.maxAnswersPerSecond() / 2.0;
        this.digest = digestHash(localDescriptor, localState);
        setSeeds(seeds);
        timers.add(nowMs, this::startProbe);
        timers.add(nowMs + times.probeIntervalMs() * random.nextDouble(), this::probeSuspects);
        expectedMs = nowMs;
    }

    /** These are the seeds from now on; nodes that are known stay known. */
    public void setSeeds(List<String> addresses) {
        contacts.values().removeIf(contact -> contact.seed && !addresses.contains(contact.address));
        for (String address : addresses) {
            Contact noted = contacts.get(address);
            if (!address.equals(localDescriptor.address())
                    && (noted == null || !noted.seed)
                    && contacts.size() < MAX_CONTACTS) {
                contacts.put(address, new Contact(address, true));
            }
        }
        if (addresses.stream().allMatch(localDescriptor.address()::equals) && peers.isEmpty()) {
            setState(PeerState.ALIVE);
        }
    }

    /** The version of the settings that this node goes by has changed; others hear of it. */
    public void setSettingsVersion(String version) {
        if (!version.equals(localDescriptor.settingsVersion())) {
            replaceDescriptor(new PeerDescriptor(
                    localDescriptor.name(),
                    localDescriptor.address(),
                    localDescriptor.zone(),
                    localDescriptor.weight(),
                    localDescriptor.programVersion(),
                    version,
                    localDescriptor.incarnation(),
                    localDescriptor.refutations() + 1));
        }
    }

    /**
     * Most messages that this node sends in a second, on average over any longer time: its rounds, helpers, contacts, suspects,
     * lost ones, further ones while views differ (a round is at least nine tenths of its length); and what others ask of it: an
     * answer, or an errand's two messages.
     */
    public static double maxMessagesPerSecond(GossipTimings times) {
        return (1
                                + INDIRECT_PROBES
                                + CONTACTS_PER_INTERVAL
                                + SUSPECTS_PER_INTERVAL
                                + 1
                                + RECONCILIATION_PROBES_PER_INTERVAL)
                        * 1000
                        / (0.9 * times.probeIntervalMs())
                + 2.0 * times.maxAnswersPerSecond();
    }

    // ---- Time ----

    /** When {@link #advance} is to be called next, if nothing is heard before. */
    public double nextMs() {
        return timers.nextMs();
    }

    /** What is due by now is done. */
    public void advance(double atMs) {
        advanceClock(atMs);
        timers.run(atMs);
        expectedMs = Math.max(atMs, timers.nextMs());
    }

    private void advanceClock(double atMs) {
        double lateMs = atMs - expectedMs;
        nowMs = Math.max(nowMs, atMs);
        if (lateMs >= 0) {
            boolean wasRunningLate = isRunningLate();
            // One long pause is a standstill, and told apart; many short ones make it late.
            meanLatenessMs += LATENESS_SMOOTHING * (Math.min(lateMs, times.ackTimeoutMs()) - meanLatenessMs);
            if (wasRunningLate && mayAccuse()) {
                restartSuspicions();
            }
        }
        if (lateMs > times.pauseThresholdMs()) {
            onProcessPause(lateMs);
            expectedMs = atMs;
        }
    }

    /**
     * This node stood still: nobody could answer it meanwhile, so nobody is to blame. Danger: a node that wakes up holds all
     * others for gone and, believed, takes the fleet apart.
     */
    private void onProcessPause(double lateMs) {
        incrementCounter("stood still");
        pauseMs = lateMs;
        acksWanted = Math.min(ACKS_AFTER_PAUSE, presentCount() - 1);
        healthMultiplier = Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + 1);
        currentProbe = null;
        indirectProbes.clear();
        for (Peer peer : peers.values()) {
            if (peer.timer != null) {
                timers.remove(peer.timer);
                peer.suspectedSinceMs += lateMs;
                peer.timer = timers.add(peer.timer.atMs() + lateMs, peer.timer.what());
            }
        }
    }

    /** Why this node trusts its own view less; empty where it does not. */
    private String healthProblem() {
        return nameOwner != null
                ? "another process has the name, from " + nameOwner.address()
                : isAwaitingAcksAfterPause()
                        ? "it stood still for " + Math.round(pauseMs) + " ms and has not heard again"
                        : isCutOff()
                                ? "it gets no answers"
                                : isRunningLate()
                                        ? "it runs late, by " + Math.round(meanLatenessMs) + " ms on average"
                                        : localState == PeerState.JOINING
                                                ? "it has not heard from anybody yet"
                                                : isBootstrapping() ? "it is getting to know the others" : "";
    }

    private boolean isCutOff() {
        return unansweredRounds >= MAX_UNANSWERED_ROUNDS && presentCount() > MIN_PEERS_TO_DETECT_CUT;
    }

    /** It stood still and wants answers; where the others have all left meanwhile, none will come. */
    private boolean isAwaitingAcksAfterPause() {
        return Math.min(acksWanted, presentCount() - 1) > 0;
    }

    /**
     * Whatever it does comes late. Danger: a node that gets a small part of a core reads answers and refutations too late, in
     * pauses each of which is too short to count as a standstill, and takes the others for dead.
     */
    private boolean isRunningLate() {
        return meanLatenessMs > MAX_LATENESS_RATIO * times.ackTimeoutMs();
    }

    /** It has just started and does not know all others yet. Danger: hundreds that start at once ask a few seeds without pause. */
    private boolean isBootstrapping() {
        return !hasSeenEqualDigest
                && presentPeers > 0
                && nowMs - startedMs < BOOTSTRAP_ROUNDS * times.probeIntervalMs();
    }

    private boolean mayAccuse() {
        return nameOwner == null
                && !isAwaitingAcksAfterPause()
                && !isCutOff()
                && !isRunningLate()
                && !isBootstrapping()
                && localState == PeerState.ALIVE;
    }

    // ---- Rounds ----

    private void startProbe() {
        finishProbe();
        double intervalMs = times.probeIntervalMs() * (1 + healthMultiplier) * (0.9 + 0.2 * random.nextDouble());
        timers.add(nowMs + intervalMs, this::startProbe);
        probeRounds++;
        if (localState == PeerState.LEFT) {
            return;
        }
        probeContacts();
        if (nameOwner != null) {
            return;
        }
        probeDeparted();
        Peer target = nextProbeTarget();
        if (target == null) {
            return;
        }
        Probe probe = new Probe();
        probe.target = target;
        probe.incarnation = target.descriptor.incarnation();
        probe.nonce = random.nextLong();
        currentProbe = probe;
        registerProbe(probe.nonce, target.descriptor.name());
        send(
                target.descriptor.address(),
                Kind.PING,
                target.descriptor.name(),
                probe.nonce,
                null,
                selectUpdates(target));
        timers.add(
                nowMs + Math.min(times.ackTimeoutMs() * (1 + healthMultiplier), 0.8 * intervalMs),
                () -> requestIndirectProbes(probe));
    }

    /** Each other node once before any one twice, in an order by chance. */
    private Peer nextProbeTarget() {
        for (int i = 0; i <= peers.size(); i++) {
            String name = probeOrder.poll();
            if (name == null) {
                List<String> names = new ArrayList<>(peers.keySet());
                Collections.sort(names);
                shuffle(names);
                probeOrder.addAll(names);
                name = probeOrder.poll();
            }
            Peer peer = name == null ? null : peers.get(name);
            if (peer != null && peer.state.isPresent()) {
                return peer;
            }
        }
        return null;
    }

    private void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }

    private void requestIndirectProbes(Probe probe) {
        if (probe != currentProbe || probe.acknowledged) {
            return;
        }
        for (Peer relay : sampleAlive(INDIRECT_PROBES, probe.target.descriptor.name())) {
            probe.relays++;
            send(
                    relay.descriptor.address(),
                    Kind.PING_REQUEST,
                    relay.descriptor.name(),
                    probe.nonce,
                    probe.target.descriptor,
                    selectUpdates(probe.target, probe.target.descriptor));
        }
    }

    /** So many others by chance that are held to be alive. */
    private List<Peer> sampleAlive(int most, String excludedName) {
        List<Peer> sample = new ArrayList<>();
        for (int i = 0; i < alivePeers.size() && sample.size() < most; i++) {
            int at = i + random.nextInt(alivePeers.size() - i);
            Peer picked = alivePeers.get(at);
            alivePeers.set(at, alivePeers.get(i));
            alivePeers.get(i).aliveIndex = at;
            alivePeers.set(i, picked);
            picked.aliveIndex = i;
            if (!picked.descriptor.name().equals(excludedName)) {
                sample.add(picked);
            }
        }
        return sample;
    }

    private void finishProbe() {
        Probe ended = currentProbe;
        currentProbe = null;
        if (ended == null || ended.acknowledged) {
            return;
        }
        if (ended.nacks > 0) {
            onSignOfLife(0);
        } else {
            unansweredRounds++;
        }
        // Danger: a node that is slow itself takes others for dead. Helpers that do not even say that they found nobody
        // speak against this node, not against the one that was asked.
        healthMultiplier =
                Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + (ended.relays > 0 ? ended.relays - ended.nacks : 0));
        Peer peer = peers.get(ended.target.descriptor.name());
        if (peer == ended.target && peer.descriptor.incarnation().equals(ended.incarnation) && mayAccuse()) {
            suspect(
                    peer,
                    localDescriptor.name(),
                    "no answer in a round of " + Math.round(times.probeIntervalMs()) + " ms, " + ended.nacks + " of "
                            + ended.relays + " helpers had none");
        }
    }

    /**
     * Those behind a cut are found again by asking one of the lost every other round; and who has left and started again, where
     * no seed can tell it of the others.
     */
    private void probeDeparted() {
        if (probeRounds % 2 != 0) {
            return;
        }
        List<String> departed = new ArrayList<>();
        peers.forEach((name, peer) -> {
            if (!peer.state.isPresent()) {
                departed.add(name);
            }
        });
        if (!departed.isEmpty()) {
            Collections.sort(departed);
            probe(peers.get(departed.get(random.nextInt(departed.size()))));
        }
    }

    /**
     * Those whom this node itself suspects are asked again, whatever its own health. Danger: when many come out of a cut at once,
     * all of them with long rounds, a suspect would hear of the suspicion too late to refute it.
     */
    private void probeSuspects() {
        timers.add(nowMs + times.probeIntervalMs(), this::probeSuspects);
        if (localState == PeerState.LEFT || nameOwner != null) {
            return;
        }
        List<String> names = new ArrayList<>();
        peers.forEach((name, peer) -> {
            if (peer.state == PeerState.SUSPECT && peer.accusers.contains(localDescriptor.name())) {
                names.add(name);
            }
        });
        Collections.sort(names);
        shuffle(names);
        for (String name : names.subList(0, Math.min(SUSPECTS_PER_INTERVAL, names.size()))) {
            probe(peers.get(name));
        }
    }

    /** Asks one beside the rounds: an answer counts, none does not. */
    private void probe(Peer peer) {
        peer.probedSinceChange = true;
        long nonce = random.nextLong();
        registerProbe(nonce, peer.descriptor.name());
        send(peer.descriptor.address(), Kind.PING, peer.descriptor.name(), nonce, null, selectUpdates(peer));
    }

    /** Views differ: for a while words go to more nodes, so that a hundred that start at once know each other in seconds. */
    private void startReconciliation() {
        if (nowMs >= reconcileUntilMs) {
            timers.add(
                    nowMs + times.probeIntervalMs() / RECONCILIATION_PROBES_PER_INTERVAL * random.nextDouble(),
                    this::reconcile);
        }
        reconcileUntilMs = nowMs + 4 * times.probeIntervalMs();
    }

    private void reconcile() {
        if (nowMs >= reconcileUntilMs || localState == PeerState.LEFT || nameOwner != null) {
            return;
        }
        // Danger: hundreds that start at once know only the seeds, and would ask nobody else ever faster.
        if (!isBootstrapping() || alivePeers.size() >= MIN_ALIVE_TO_RECONCILE) {
            sampleAlive(1, "").forEach(this::probe);
        }
        timers.add(nowMs + times.probeIntervalMs() / RECONCILIATION_PROBES_PER_INTERVAL, this::reconcile);
    }

    private void registerProbe(long nonce, String name) {
        outstandingProbes.put(nonce, name);
        if (outstandingProbes.size() > MAX_OUTSTANDING_PROBES) {
            outstandingProbes.remove(outstandingProbes.keySet().iterator().next());
        }
    }

    // ---- Addresses of which nobody knows yet who is there ----

    /** Asks a few addresses who is there; a seed on and on, ever more rarely while nobody answers. */
    private void probeContacts() {
        int left = CONTACTS_PER_INTERVAL;
        for (Contact contact : List.copyOf(contacts.values())) {
            if (left == 0) {
                return;
            }
            if (contact.nextAttemptMs > nowMs || contact.seed && isKnownAddress(contact.address)) {
                continue;
            }
            if (!contact.seed && contact.attempts >= CONTACT_ATTEMPTS) {
                contacts.remove(contact.address);
                continue;
            }
            left--;
            probe(contact);
        }
        if (nameClaimant != null && claimantSilentRounds++ > CLAIMANT_TIMEOUT_ROUNDS) {
            reclaimName();
        }
    }

    private boolean isKnownAddress(String address) {
        return peers.values().stream()
                .anyMatch(peer -> peer.descriptor.address().equals(address) && peer.state.isPresent());
    }

    private void probe(Contact contact) {
        contact.attempts++;
        contact.nonce = random.nextLong();
        double waitMs = times.probeIntervalMs() * Math.min(16, 1 << Math.min(4, contact.attempts - 1));
        contact.nextAttemptMs = nowMs + waitMs * (0.5 + random.nextDouble());
        send(contact.address, Kind.PING, "", contact.nonce, null, List.of());
    }

    /** Notes an address that is to be asked; null if it is noted already, or there is no room. */
    private Contact addContact(String address) {
        if (contacts.containsKey(address)) {
            return null;
        }
        if (contacts.size() >= MAX_CONTACTS) {
            // Danger: invented names fill the memory, and push out the seeds.
            incrementCounter("contacts refused");
            return null;
        }
        Contact added = new Contact(address, false);
        contacts.put(address, added);
        return added;
    }

    // ---- What is heard ----

    /** A message has come. */
    public void onMessage(PeerMessage message, double atMs) {
        advanceClock(atMs);
        expectedMs = Math.max(expectedMs, atMs);
        if (!message.sender().isWellFormed()) {
            incrementCounter("unusable cards");
            return;
        }
        boolean isFreshAck = message.kind() == Kind.ACK && acceptAck(message);
        if (message.sender().name().equals(localDescriptor.name())) {
            if (message.kind() == Kind.PING
                    && message.sender().incarnation().compareTo(localDescriptor.incarnation()) < 0
                    && nameOwner == null) {
                acknowledge(message, false);
            }
            onSameName(message.sender(), isFreshAck);
            return;
        }
        if (nameOwner != null || localState == PeerState.LEFT) {
            return;
        }
        Peer sender = peers.get(message.sender().name());
        boolean isSameIncarnation = sender != null
                && sender.descriptor.incarnation().equals(message.sender().incarnation());
        if (isSameIncarnation && message.state() == PeerState.LEFT) {
            // However old the message is and whatever is held of its sender: a life that has left stays so.
            applyState(
                    message.sender(),
                    PeerState.LEFT,
                    message.sender().name(),
                    message.incarnationAgeMs(),
                    "it says so");
            return;
        }
        boolean trusted = isSameIncarnation && sender.state.isPresent();
        double staleMs = trusted ? sender.delayMs(message.incarnationAgeMs(), nowMs) : 0;
        if (trusted && staleMs > times.maxMessageDelayMs() + 0.1 * (nowMs - sender.startEstimatedMs)) {
            incrementCounter("stale messages");
            return;
        }
        if (!trusted
                && sender != null
                && message.sender().incarnation().compareTo(sender.descriptor.incarnation()) < 0) {
            incrementCounter("messages of former lives");
            if (message.kind() == Kind.PING) {
                // A clock that was set back makes a new life look like a former one; it hears of that and begins
                // another.
                acknowledge(message, false);
            }
            return;
        }
        if (trusted) {
            applyState(
                    message.sender(),
                    message.state(),
                    message.sender().name(),
                    message.incarnationAgeMs(),
                    "it says so");
            if (message.digest() != digest) {
                startReconciliation();
            } else {
                hasSeenEqualDigest = true;
            }
        } else {
            // Whoever is not known, or is held for gone, is asked itself first: its words may be an hour old.
            incrementCounter("messages of unknown senders");
            Contact added = addContact(message.sender().address());
            if (added != null && mayAnswer(false)) {
                probe(added);
            }
        }
        for (PeerUpdate update : message.updates()) {
            // Danger: two sides of a cut that hold each other for gone would trust no word that they are not. What a
            // new answer says of this node itself it may refute, whoever says so.
            if (trusted || isFreshAck && update.descriptor().name().equals(localDescriptor.name())) {
                applyUpdate(update, message.sender().name());
            }
        }
        switch (message.kind()) {
            case PING -> acknowledge(message, trusted);
            case PING_REQUEST -> onPingRequest(message, trusted);
            case INDIRECT_ACK -> onIndirectAck(message, trusted);
            case INDIRECT_NACK -> {
                if (trusted && currentProbe != null && currentProbe.nonce == message.nonce()) {
                    // Danger: one that comes twice would count for two helpers.
                    currentProbe.nacks = Math.min(currentProbe.relays, currentProbe.nacks + 1);
                }
            }
            default -> {}
        }
    }

    /** Danger: a flood of questions would make this node send without bound, and starve those that it knows. */
    private boolean mayAnswer(boolean known) {
        answerTokens = Math.min(
                times.maxAnswersPerSecond(),
                answerTokens + (nowMs - tokensUpdatedMs) / 1000 * times.maxAnswersPerSecond());
        unknownSenderTokens = Math.min(
                times.maxAnswersPerSecond() / 2.0,
                unknownSenderTokens + (nowMs - tokensUpdatedMs) / 2000 * times.maxAnswersPerSecond());
        tokensUpdatedMs = nowMs;
        if (answerTokens < 1 || !known && unknownSenderTokens < 1) {
            incrementCounter("answers held back");
            return false;
        }
        answerTokens--;
        unknownSenderTokens -= known ? 0 : 1;
        return true;
    }

    private void acknowledge(PeerMessage message, boolean known) {
        if (!mayAnswer(known)) {
            return;
        }
        Peer asker = peers.get(message.sender().name());
        List<PeerUpdate> updates = known ? selectUpdates(asker) : asker == null ? List.of() : List.of(toUpdate(asker));
        send(message.sender().address(), Kind.ACK, message.sender().name(), message.nonce(), null, updates);
    }

    /** An answer to what this node asked lately; what it holds of the sender is taken up. */
    private boolean acceptAck(PeerMessage message) {
        PeerDescriptor from = message.sender();
        IndirectProbe indirectProbe = indirectProbes.remove(message.nonce());
        if (indirectProbe != null && indirectProbe.target.name().equals(from.name())) {
            send(indirectProbe.requesterAddress, Kind.INDIRECT_ACK, "", indirectProbe.requesterNonce, from, List.of());
        }
        Contact contact = contacts.values().stream()
                .filter(each -> each.attempts > 0 && each.nonce == message.nonce())
                .findFirst()
                .orElse(null);
        String name = outstandingProbes.remove(message.nonce());
        if (indirectProbe == null && contact == null && !from.name().equals(name)) {
            incrementCounter("answers to nothing asked");
            return false;
        }
        if (contact != null) {
            contact.attempts = 1;
            if (!contact.seed) {
                contacts.remove(contact.address);
            }
        }
        if (from.name().equals(localDescriptor.name())) {
            return true;
        }
        Peer peer = peers.get(from.name());
        if (peer != null && from.incarnation().compareTo(peer.descriptor.incarnation()) < 0) {
            return false;
        }
        applyState(from, message.state(), from.name(), message.incarnationAgeMs(), "it answers");
        peer = peers.get(from.name());
        if (peer != null && peer.descriptor.incarnation().equals(from.incarnation())) {
            peer.lastAckMs = nowMs;
            peer.incarnationStartMs = nowMs - message.incarnationAgeMs();
            peer.startEstimatedMs = nowMs;
            onAck(peer, message.nonce());
        }
        return true;
    }

    private void onAck(Peer peer, long nonce) {
        onSignOfLife(1);
        if (currentProbe != null && currentProbe.nonce == nonce && currentProbe.target == peer) {
            currentProbe.acknowledged = true;
            healthMultiplier = Math.max(0, healthMultiplier - 1);
        }
        if (localState == PeerState.JOINING) {
            setState(PeerState.ALIVE);
            recordEvent(
                    localDescriptor,
                    PeerState.JOINING,
                    PeerState.ALIVE,
                    localDescriptor.name(),
                    "it has heard from " + peer.descriptor.name());
        }
    }

    /**
     * Somebody has told this node something new. Danger: while it doubted itself it could hear no refutation, and suspicions
     * whose time is over would end the moment that it trusts itself again; they begin anew.
     */
    private void onSignOfLife(int answerTokens) {
        boolean wasDoubtful = isCutOff() || isAwaitingAcksAfterPause();
        unansweredRounds = 0;
        acksWanted = Math.max(0, acksWanted - answerTokens);
        if (wasDoubtful && !isAwaitingAcksAfterPause()) {
            restartSuspicions();
        }
    }

    private void restartSuspicions() {
        for (Peer peer : peers.values()) {
            if (peer.state == PeerState.SUSPECT) {
                peer.accusers.clear();
                peer.suspectedSinceMs = nowMs;
                suspect(peer, localDescriptor.name(), peer.reason);
            }
        }
    }

    private void onPingRequest(PeerMessage message, boolean known) {
        PeerDescriptor target = message.target();
        if (!known
                || target == null
                || !target.isWellFormed()
                || indirectProbes.size() >= MAX_INDIRECT_PROBES
                || !mayAnswer(true)) {
            incrementCounter("errands refused");
            return;
        }
        long nonce = random.nextLong();
        indirectProbes.put(nonce, new IndirectProbe(message.sender().address(), message.nonce(), target));
        send(target.address(), Kind.PING, target.name(), nonce, null, selectUpdates(peers.get(target.name())));
        timers.add(nowMs + times.ackTimeoutMs(), () -> {
            IndirectProbe open = indirectProbes.remove(nonce);
            if (open != null) {
                send(open.requesterAddress, Kind.INDIRECT_NACK, "", open.requesterNonce, null, List.of());
            }
        });
    }

    private void onIndirectAck(PeerMessage message, boolean known) {
        PeerDescriptor target = message.target();
        if (!known
                || target == null
                || currentProbe == null
                || currentProbe.nonce != message.nonce()
                || !target.name().equals(currentProbe.target.descriptor.name())) {
            return;
        }
        applyUpdate(
                new PeerUpdate(target, PeerState.ALIVE, 0, ""), message.sender().name());
        if (target.incarnation().compareTo(currentProbe.incarnation) >= 0) {
            currentProbe.acknowledged = true;
            onSignOfLife(0);
        }
    }

    // ---- What is held ----

    private void applyUpdate(PeerUpdate update, String from) {
        if (!update.descriptor().isWellFormed()) {
            incrementCounter("unusable cards");
            return;
        }
        if (update.descriptor().name().equals(localDescriptor.name())) {
            onUpdateAboutSelf(update, from);
            return;
        }
        Peer peer = peers.get(update.descriptor().name());
        if (peer == null && !update.state().isPresent()) {
            // Danger: whom all have forgotten would be handed round without end.
            return;
        }
        if (update.state() == PeerState.SUSPECT
                && peer != null
                && peer.state == PeerState.SUSPECT
                && peer.descriptor.incarnation().equals(update.descriptor().incarnation())
                && peer.descriptor.refutations() == update.descriptor().refutations()) {
            suspect(peer, update.accuser(), "accused by " + update.accuser());
        }
        applyState(
                update.descriptor(),
                update.state(),
                from,
                update.incarnationAgeMs(),
                update.accuser().isEmpty() ? "told" : "accused by " + update.accuser());
        peer = peers.get(update.descriptor().name());
        if (peer != null
                && peer.descriptor.incarnation().equals(update.descriptor().incarnation())) {
            peer.learnAge(update.incarnationAgeMs(), nowMs);
            if (update.state().isPresent()) {
                peer.toldMs = nowMs;
            }
            if (update.state() == PeerState.SUSPECT && peer.state == PeerState.SUSPECT && peer.accusers.isEmpty()) {
                suspect(peer, update.accuser(), "accused by " + update.accuser());
            }
        }
    }

    /** Takes up what outranks the word held; the one place where what is held moves. */
    private void applyState(PeerDescriptor descriptor, PeerState newState, String from, double ageMs, String reason) {
        Peer peer = peers.get(descriptor.name());
        if (peer != null && PeerUpdate.comparePrecedence(descriptor, newState, peer.descriptor, peer.state) <= 0) {
            return;
        }
        PeerState previousState = peer == null ? null : peer.state;
        if (peer == null) {
            if (peers.size() >= times.maxPeers() && !evictOldestDeparted()) {
                incrementCounter("peers refused");
                return;
            }
            peer = new Peer(descriptor, newState);
            peers.put(descriptor.name(), peer);
            // At a place by chance among those to be asked, so that news of many does not make all ask in one order.
            List<String> names = new ArrayList<>(probeOrder);
            names.add(random.nextInt(names.size() + 1), descriptor.name());
            probeOrder.clear();
            probeOrder.addAll(names);
        } else if (!peer.descriptor.incarnation().equals(descriptor.incarnation())) {
            peer.lastAckMs = Double.NaN;
            peer.incarnationStartMs = Double.NaN;
            peer.startEstimatedMs = Double.NaN;
            peer.toldMs = Double.NaN;
        }
        boolean sameStanding =
                previousState == newState && peer.descriptor.incarnation().equals(descriptor.incarnation());
        if (peer.timer != null) {
            timers.remove(peer.timer);
            peer.timer = null;
        }
        peer.accusers.clear();
        peer.probedSinceChange = false;
        peer.descriptor = descriptor;
        peer.state = newState;
        updatePresence(peer, newState);
        peer.stateSinceMs = sameStanding ? peer.stateSinceMs : nowMs;
        peer.reporter = from;
        peer.reason = reason;
        enqueueUpdate(peer, 0);
        peer.learnAge(ageMs, nowMs);
        digest ^= peer.digestHash;
        peer.digestHash = newState.isPresent() ? digestHash(descriptor, newState) : 0;
        digest ^= peer.digestHash;
        if (!newState.isPresent()) {
            Peer kept = peer;
            peer.timer = timers.add(nowMs + times.departedRetentionMs(), () -> forget(kept));
        }
        recordEvent(descriptor, previousState, newState, from, reason);
    }

    private void enqueueUpdate(Peer peer, int passedOn) {
        peer.transmissions = passedOn;
        if (!peer.queued) {
            peer.queued = true;
            newUpdates.add(peer);
        }
    }

    /** It stands so from now on; null: it is forgotten. */
    private void updatePresence(Peer peer, PeerState newState) {
        presentPeers += (newState != null && newState.isPresent() ? 1 : 0) - (peer.present ? 1 : 0);
        peer.present = newState != null && newState.isPresent();
        if (newState == PeerState.ALIVE && peer.aliveIndex < 0) {
            peer.aliveIndex = alivePeers.size();
            alivePeers.add(peer);
        } else if (newState != PeerState.ALIVE && peer.aliveIndex >= 0) {
            Peer last = alivePeers.remove(alivePeers.size() - 1);
            if (last != peer) {
                alivePeers.set(peer.aliveIndex, last);
                last.aliveIndex = peer.aliveIndex;
            }
            peer.aliveIndex = -1;
        }
    }

    /** The accuser's own rounds, or word of another one's. Each further accuser makes the time to refute shorter. */
    private void suspect(Peer peer, String accuser, String reason) {
        if (!peer.state.isPresent() || accuser.isEmpty() || peer.accusers.contains(accuser)) {
            return;
        }
        if (peer.state != PeerState.SUSPECT) {
            applyState(peer.descriptor, PeerState.SUSPECT, localDescriptor.name(), 0, reason);
        }
        if (peer.accusers.isEmpty()) {
            peer.suspectedSinceMs = nowMs;
        }
        if (peer.accusers.size() < MAX_CONFIRMATIONS + 1) {
            peer.accusers.add(accuser);
            enqueueUpdate(peer, Math.min(peer.transmissions, 1));
        }
        int present = presentCount();
        double minMs = times.minSuspicionMs(present);
        double maxMs = 3 * minMs;
        int confirmationsWanted = Math.min(MAX_CONFIRMATIONS, Math.max(0, present - 3));
        double shortening =
                confirmationsWanted == 0 ? 1 : Math.log(peer.accusers.size()) / Math.log(confirmationsWanted + 1);
        double deadlineMs = peer.suspectedSinceMs + Math.max(minMs, maxMs - (maxMs - minMs) * shortening);
        if (peer.timer != null) {
            timers.remove(peer.timer);
        }
        peer.timer = timers.add(Math.max(nowMs, deadlineMs), () -> onSuspicionTimeout(peer));
    }

    private void onSuspicionTimeout(Peer peer) {
        peer.timer = null;
        if (!mayAccuse()) {
            // In doubt of itself it ends no suspicion; it looks again when a round has passed.
            peer.timer = timers.add(nowMs + times.probeIntervalMs(), () -> onSuspicionTimeout(peer));
            return;
        }
        if (!peer.probedSinceChange) {
            // Danger: who was only told of a suspicion hears of its refutation late where there is much to tell; nobody
            // ends one without having asked the suspect itself.
            probe(peer);
            peer.timer = timers.add(nowMs + times.probeIntervalMs(), () -> onSuspicionTimeout(peer));
            return;
        }
        String accusers = String.join(", ", peer.accusers);
        applyState(
                peer.descriptor,
                PeerState.GONE,
                localDescriptor.name(),
                0,
                "accused by " + accusers + ", and it did not refute that in "
                        + Math.round(nowMs - peer.suspectedSinceMs) + " ms");
    }

    private void forget(Peer peer) {
        peers.remove(peer.descriptor.name(), peer);
        peer.queued = false;
        updatePresence(peer, null);
        digest ^= peer.digestHash;
        recordEvent(peer.descriptor, peer.state, null, localDescriptor.name(), "nothing heard of it for long");
    }

    /** Makes room: who has been over for the longest goes. */
    private boolean evictOldestDeparted() {
        Peer oldest = peers.values().stream()
                .filter(peer -> !peer.state.isPresent())
                .min(Comparator.comparingDouble((Peer peer) -> peer.stateSinceMs)
                        .thenComparing(peer -> peer.descriptor.name()))
                .orElse(null);
        if (oldest != null) {
            timers.remove(oldest.timer);
            forget(oldest);
        }
        return oldest != null;
    }

    // ---- This node itself ----

    private void onUpdateAboutSelf(PeerUpdate update, String from) {
        int order = update.descriptor().incarnation().compareTo(localDescriptor.incarnation());
        if (order > 0) {
            onSameName(update.descriptor(), false);
        } else if (order == 0 && update.state() == PeerState.LEFT && localState != PeerState.LEFT) {
            incrementCounter("told that it has left");
            replaceDescriptor(localDescriptor.withIncarnation(
                    new Incarnation(localDescriptor.incarnation().startMs() + 1, random.nextInt()), 0));
        } else if (order == 0
                && update.state() != PeerState.LEFT
                && update.descriptor().refutations() >= localDescriptor.refutations()
                && update.state().compareTo(PeerState.ALIVE) > 0) {
            healthMultiplier = Math.min(MAX_HEALTH_MULTIPLIER, healthMultiplier + 1);
            incrementCounter("refuted");
            replaceDescriptor(localDescriptor.withIncarnation(
                    localDescriptor.incarnation(), update.descriptor().refutations() + 1));
            // Danger: the poorer its health, the rarer its own rounds, and a refutation that comes late is none.
            startReconciliation();
            recordEvent(
                    localDescriptor,
                    update.state(),
                    localState,
                    from,
                    "refuted what " + (update.accuser().isEmpty() ? from : update.accuser()) + " said");
        }
    }

    /**
     * A life of this node's own name that is not this one. An earlier one hears of this one and steps back. A later one at
     * this address can only be a former life, by a clock that was set back since: this one begins after it. A later one
     * elsewhere is asked: if it answers, this process steps back, and if not, it is over.
     */
    private void onSameName(PeerDescriptor other, boolean answered) {
        if (other.incarnation().compareTo(localDescriptor.incarnation()) <= 0) {
            if (!other.incarnation().equals(localDescriptor.incarnation())) {
                addContact(other.address());
            }
            return;
        }
        if (other.address().equals(localDescriptor.address())) {
            startIncarnationAfter(other.incarnation());
        } else if (answered) {
            if (nameOwner == null) {
                recordEvent(
                        localDescriptor,
                        localState,
                        localState,
                        other.name(),
                        "another process has the name, from " + other.address());
                incrementCounter("stepped back");
            }
            nameOwner = other;
            nameClaimant = other;
            claimantSilentRounds = 0;
            addContact(other.address());
        } else if (nameClaimant == null) {
            nameClaimant = other;
            claimantSilentRounds = 0;
            addContact(other.address());
        }
    }

    /** The other process of this name has not answered for a while. */
    private void reclaimName() {
        PeerDescriptor over = nameClaimant;
        nameOwner = null;
        nameClaimant = null;
        startIncarnationAfter(over.incarnation());
    }

    private void startIncarnationAfter(Incarnation former) {
        replaceDescriptor(localDescriptor.withIncarnation(
                new Incarnation(
                        Math.max(former.startMs(), localDescriptor.incarnation().startMs()) + 1, random.nextInt()),
                0));
        recordEvent(
                localDescriptor, localState, localState, localDescriptor.name(), "begins a life after its former one");
    }

    private void replaceDescriptor(PeerDescriptor descriptor) {
        digest ^= digestHash(localDescriptor, localState);
        localDescriptor = descriptor;
        digest ^= digestHash(localDescriptor, localState);
    }

    private void setState(PeerState newState) {
        digest ^= digestHash(localDescriptor, localState);
        localState = newState;
        digest ^= digestHash(localDescriptor, localState);
    }

    /** Says at once that this node ends, to as many as pass it on. */
    public void leave(double atMs) {
        advanceClock(atMs);
        if (localState == PeerState.LEFT) {
            return;
        }
        localState = PeerState.LEFT;
        recordEvent(localDescriptor, PeerState.ALIVE, PeerState.LEFT, localDescriptor.name(), "it ends");
        int most = 2 + 2 * (32 - Integer.numberOfLeadingZeros(peers.size()));
        List<Peer> handled = new ArrayList<>(sampleAlive(most, ""));
        // Those that it holds for lost may be alive; where hardly anybody else is left, they hear of it, too.
        peers.values().stream()
                .filter(peer -> peer.state == PeerState.SUSPECT
                        || peer.state == PeerState.GONE
                        || peer.state == PeerState.JOINING)
                .sorted(Comparator.comparing(peer -> peer.descriptor.name()))
                .limit(Math.max(0, most - handled.size()))
                .forEach(handled::add);
        for (Peer peer : handled) {
            send(peer.descriptor.address(), Kind.PING, peer.descriptor.name(), random.nextLong(), null, List.of());
        }
    }

    // ---- What is sent ----

    private void send(
            String address, Kind kind, String to, long nonce, PeerDescriptor target, List<PeerUpdate> updates) {
        outbox.add(new OutgoingMessage(
                address,
                new PeerMessage(
                        kind, localDescriptor, localState, nowMs - startedMs, to, nonce, digest, target, updates)));
    }

    /** First what this node holds against the one it writes to; then news; then, where views differ, the next of the rest. */
    private List<PeerUpdate> selectUpdates(Peer other) {
        return selectUpdates(other, null);
    }

    private List<PeerUpdate> selectUpdates(Peer other, PeerDescriptor target) {
        List<PeerUpdate> updates = new ArrayList<>();
        // Danger: cards with long texts would make the message too large for a datagram, and the node mute.
        int left = times.maxUpdateBytes()
                - Math.max(0, localDescriptor.maxEncodedBytes() - USUAL_DESCRIPTOR_BYTES)
                - (target == null ? 0 : target.maxEncodedBytes());
        if (other != null && other.state != PeerState.ALIVE && other.state != PeerState.JOINING) {
            updates.add(toUpdate(other));
            left -= bytes(other);
        }
        int most = (int) Math.ceil(RETRANSMIT_MULTIPLIER * Math.log10(peers.size() + 2));
        List<Peer> handled = new ArrayList<>();
        for (Deque<Peer> each : List.of(newUpdates, sentUpdates)) {
            for (int i = each.size(); i > 0 && (each.peek() == other || bytes(each.peek()) <= left); i--) {
                Peer peer = each.poll();
                if (peer == other || !peer.queued || handled.contains(peer)) {
                    handled.add(peer);
                    continue;
                }
                left -= bytes(peer);
                updates.add(toUpdate(peer));
                handled.add(peer);
                peer.transmissions++;
            }
        }
        for (Peer peer : handled) {
            peer.queued = peer.queued && peer.transmissions < most;
            if (peer.queued) {
                sentUpdates.add(peer);
            }
        }
        if (nowMs < reconcileUntilMs) {
            for (int i = peers.size(); i > 0; i--) {
                if (reconciliationOrder.isEmpty()) {
                    List<String> names = new ArrayList<>(peers.keySet());
                    Collections.sort(names);
                    shuffle(names);
                    reconciliationOrder.addAll(names);
                }
                Peer peer = peers.get(reconciliationOrder.peek());
                if (peer != null && bytes(peer) > left) {
                    break;
                }
                reconciliationOrder.poll();
                if (peer != null && peer != other && !handled.contains(peer)) {
                    left -= bytes(peer);
                    updates.add(toUpdate(peer));
                }
            }
        }
        return updates;
    }

    private static int bytes(Peer peer) {
        return peer.descriptor.maxEncodedBytes()
                + (peer.accusers.isEmpty() ? 0 : peer.accusers.get(0).length());
    }

    private PeerUpdate toUpdate(Peer peer) {
        return new PeerUpdate(
                peer.descriptor,
                peer.state,
                peer.incarnationAgeMs(nowMs),
                peer.state == PeerState.SUSPECT && !peer.accusers.isEmpty()
                        ? peer.accusers.get(
                                peer.accusers.contains(localDescriptor.name())
                                        ? peer.accusers.indexOf(localDescriptor.name())
                                        : 0)
                        : "");
    }

    /** What is to be sent now; handed out once. */
    public List<OutgoingMessage> drainMessages() {
        List<OutgoingMessage> taken = List.copyOf(outbox);
        outbox.clear();
        return taken;
    }

    // ---- What is known ----

    public PeerDescriptor self() {
        return localDescriptor;
    }

    /** What has changed since this was last asked, at most the latest thousand. */
    public List<PeerEvent> drainEvents() {
        List<PeerEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    private void recordEvent(
            PeerDescriptor descriptor, PeerState previousState, PeerState newState, String accuser, String reason) {
        if (events.size() >= MAX_EVENTS) {
            events.poll();
            incrementCounter("events left out");
        }
        events.add(new PeerEvent(nowMs, descriptor, previousState, newState, accuser, reason, healthProblem()));
    }

    private void incrementCounter(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    private int presentCount() {
        return 1 + presentPeers;
    }

    public MembershipView view(double atMs) {
        List<Entry> seen = new ArrayList<>();
        String healthProblem = healthProblem();
        seen.add(new Entry(
                localDescriptor, localState, startedMs, localDescriptor.name(), Confidence.DIRECT, atMs, "this node"));
        int least = 1;
        int most = 1;
        for (Peer peer : peers.values()) {
            boolean heard = atMs - peer.lastAckMs < 4 * times.probeIntervalMs() * Math.max(4, peers.size());
            Confidence sure = peer.state == PeerState.SUSPECT || !healthProblem.isEmpty()
                    ? Confidence.LOW
                    : heard ? Confidence.DIRECT : Confidence.REPORTED;
            least += peer.state == PeerState.ALIVE && healthProblem.isEmpty() ? 1 : 0;
            most += peer.state == PeerState.LEFT ? 0 : 1;
            seen.add(new Entry(
                    peer.descriptor, peer.state, peer.stateSinceMs, peer.reporter, sure, peer.lastAckMs, peer.reason));
        }
        seen.sort(Comparator.comparing(each -> each.descriptor().name()));
        most += (int) contacts.values().stream()
                .filter(contact -> !isKnownAddress(contact.address)
                        && peers.values().stream()
                                .noneMatch(peer -> peer.descriptor.address().equals(contact.address)))
                .count();
        return new MembershipView(
                localDescriptor.name(),
                localState,
                healthProblem,
                atMs,
                presentCount(),
                least,
                most,
                List.copyOf(seen),
                Map.copyOf(counters));
    }

    /**
     * Who is there, in which life and turn, and whether it has heard from anybody yet. Danger: where hundreds start at once the
     * news that one of them has may miss a node, which would hold it for joining until the two happen to talk. Suspicions are
     * left out, they end by themselves.
     */
    private static long digestHash(PeerDescriptor descriptor, PeerState localState) {
        long hash = descriptor.name().hashCode() * 0x9E3779B97F4A7C15L
                ^ descriptor.incarnation().startMs() * 0xC2B2AE3D27D4EB4FL
                ^ descriptor.incarnation().nonce() * 0x165667B19E3779F9L
                ^ descriptor.refutations() * 0xD6E8FEB86659FD93L
                ^ (localState == PeerState.JOINING ? 0x2545F4914F6CDD1DL : 0);
        hash ^= hash >>> 32;
        hash *= 0x9FB21C651E98DF25L;
        return hash ^ hash >>> 28;
    }
}
