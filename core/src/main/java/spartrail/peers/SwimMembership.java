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
import spartrail.peers.MembershipView.Seen;
import spartrail.peers.MembershipView.Sure;
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
    private static final int HELPERS = 3;

    private static final int ACCUSERS = 3;
    /** Each piece of news is passed on so many times the decimal logarithm of the fleet; what that misses is found by digests. */
    private static final int PASSED_ON = 4;
    /** While views differ a node talks to so many more a round. */
    private static final int HURRIED = 5;
    /** The poorer a node's own health, the longer it waits; at the most so much longer. */
    private static final int WORST_HEALTH = 4;
    /**
     * After so many rounds in a row in which neither who was asked nor a helper said a word a node takes itself for cut off: that
     * is sooner than one accuser's suspicion ends. Below so many others it cannot tell.
     */
    private static final int UNANSWERED = 2;

    private static final int FEWEST_TO_TELL = 3;
    /** Answers that a node which stood still waits for before it trusts itself again. */
    private static final int HEARD_AGAIN = 2;
    /** A node that is late by more than this part of an answer's time on average runs late; and how quickly that is learned. */
    private static final double LATE = 0.125;

    private static final double LATENESS_LEARNED = 0.1;
    private static final int GETTING_TO_KNOW_ROUNDS = 30;
    private static final int FEW_KNOWN = 8;
    /** Addresses of which nobody knows yet who is there; and how often one is asked. */
    private static final int MOST_CONTACTS = 64;

    private static final int CONTACT_TRIES = 4;
    private static final int CONTACTS_A_ROUND = 4;
    private static final int SUSPECTS_A_ROUND = 4;
    private static final int MOST_ERRANDS = 128;
    private static final int MOST_ASKED = 64;
    private static final int MOST_EVENTS = 1000;
    /** What a card usually takes in a message; what it takes beyond goes off its words. */
    private static final int USUAL_CARD = 100;
    /** A contact is asked four times in these, ever more rarely; then another process of the same name counts as over. */
    private static final int RIVAL_ROUNDS = 16;

    /** A round in which this member was asked. */
    private static final class Round {
        Peer asked;
        Incarnation life;
        long nonce;
        boolean answered;
        int helpers;
        int notFound;
    }

    /** An address that is to be asked who is there. */
    private static final class Contact {
        final String address;
        final boolean kept;
        long nonce;
        int tries;
        double nextMs;

        Contact(String address, boolean kept) {
            this.address = address;
            this.kept = kept;
        }
    }

    /** Somebody asked this node to ask somebody else. */
    private record Errand(String address, long nonce, PeerDescriptor about) {}

    private final GossipTimings times;
    private final RandomGenerator chance;
    private final Map<String, Peer> members = new HashMap<>();
    private final Map<String, Contact> contacts = new LinkedHashMap<>();
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    /** Nonces of members asked lately, so that a late answer counts, too. */
    private final Map<Long, String> asked = new LinkedHashMap<>();

    private final TimerQueue timetable = new TimerQueue();
    private final List<OutgoingMessage> out = new ArrayList<>();
    private final Deque<PeerEvent> events = new ArrayDeque<>();
    private final Map<String, Long> counts = new TreeMap<>();
    /** Whom to ask in the next rounds. */
    private final Deque<String> turnOf = new ArrayDeque<>();
    /** Whom to tell of next where two views differ. */
    private final Deque<String> slice = new ArrayDeque<>();
    /** Of whom others are to hear: first those of whom nobody has heard yet, then by turns. */
    private final Deque<Peer> fresh = new ArrayDeque<>();

    private final Deque<Peer> news = new ArrayDeque<>();
    /** Those held for alive, and how many are held to be there; so that no message costs more the larger the fleet is. */
    private final List<Peer> alive = new ArrayList<>();

    private int others;

    private PeerDescriptor self;
    private PeerState standing = PeerState.JOINING;
    private final double bornMs;
    private double nowMs;
    private double meantMs;
    private Round round;
    private long roundNumber;
    private int health;
    private int unanswered;
    /** Answers still wanted after a standstill; and until when views are known to differ. */
    private int heardWanted;

    private double standstillMs;
    /** How late it is on average where something is due. */
    private double usuallyLateMs;
    /** Somebody held the same as this node, once at least. */
    private boolean agreed;

    private double differUntilMs = Double.NEGATIVE_INFINITY;
    private long digest;
    /**
     * A later life of this name, from elsewhere; once it has answered this process takes no part. It is asked on and on, and
     * counts as over when so many rounds have passed without an answer.
     */
    private PeerDescriptor claimed;

    private PeerDescriptor rival;
    private int rivalRounds;
    private double answers;
    private double answersToUnknown;
    private double answersMs;

    /**
     * Begins a life of a node. Seeds are addresses to ask who is there; the own one among them is passed over.
     */
    public SwimMembership(
            PeerDescriptor self, List<String> seeds, GossipTimings times, RandomGenerator chance, double nowMs) {
        this.self = self;
        this.times = times;
        this.chance = chance;
        this.nowMs = nowMs;
        this.bornMs = nowMs;
        this.answersMs = nowMs;
        this.answers = times.answersPerS();
        this.answersToUnknown = times.answersPerS() / 2.0;
        this.digest = hash(self, standing);
        seeds(seeds);
        timetable.schedule(nowMs, this::round);
        timetable.schedule(nowMs + times.roundMs() * chance.nextDouble(), this::askSuspects);
        meantMs = nowMs;
    }

    /** These are the seeds from now on; nodes that are known stay known. */
    public void seeds(List<String> addresses) {
        contacts.values().removeIf(contact -> contact.kept && !addresses.contains(contact.address));
        for (String address : addresses) {
            Contact noted = contacts.get(address);
            if (!address.equals(self.address()) && (noted == null || !noted.kept) && contacts.size() < MOST_CONTACTS) {
                contacts.put(address, new Contact(address, true));
            }
        }
        if (addresses.stream().allMatch(self.address()::equals) && members.isEmpty()) {
            become(PeerState.ALIVE);
        }
    }

    /** The version of the settings that this node goes by has changed; others hear of it. */
    public void settings(String version) {
        if (!version.equals(self.settings())) {
            reborn(new PeerDescriptor(
                    self.name(),
                    self.address(),
                    self.zone(),
                    self.weight(),
                    self.program(),
                    version,
                    self.life(),
                    self.turn() + 1));
        }
    }

    /**
     * Most messages that this node sends in a second, on average over any longer time: its rounds, helpers, contacts, suspects,
     * lost ones, further ones while views differ (a round is at least nine tenths of its length); and what others ask of it: an
     * answer, or an errand's two messages.
     */
    public static double mostMessagesPerS(GossipTimings times) {
        return (1 + HELPERS + CONTACTS_A_ROUND + SUSPECTS_A_ROUND + 1 + HURRIED) * 1000 / (0.9 * times.roundMs())
                + 2.0 * times.answersPerS();
    }

    // ---- Time ----

    /** When {@link #advance} is to be called next, if nothing is heard before. */
    public double nextMs() {
        return timetable.nextDueMs();
    }

    /** What is due by now is done. */
    public void advance(double atMs) {
        moveTo(atMs);
        timetable.runDue(atMs);
        meantMs = Math.max(atMs, timetable.nextDueMs());
    }

    private void moveTo(double atMs) {
        double lateMs = atMs - meantMs;
        nowMs = Math.max(nowMs, atMs);
        if (lateMs >= 0) {
            boolean was = runsLate();
            // One long pause is a standstill, and told apart; many short ones make it late.
            usuallyLateMs += LATENESS_LEARNED * (Math.min(lateMs, times.answerMs()) - usuallyLateMs);
            if (was && judges()) {
                suspicionsBeginAnew();
            }
        }
        if (lateMs > times.stoodMs()) {
            stoodStill(lateMs);
            meantMs = atMs;
        }
    }

    /**
     * This node stood still: nobody could answer it meanwhile, so nobody is to blame. Danger: a node that wakes up holds all
     * others for gone and, believed, takes the fleet apart.
     */
    private void stoodStill(double lateMs) {
        count("stood still");
        standstillMs = lateMs;
        heardWanted = Math.min(HEARD_AGAIN, there() - 1);
        health = Math.min(WORST_HEALTH, health + 1);
        round = null;
        errands.clear();
        for (Peer member : members.values()) {
            if (member.due != null) {
                timetable.cancel(member.due);
                member.accusedMs += lateMs;
                member.due = timetable.schedule(member.due.dueMs() + lateMs, member.due.action());
            }
        }
    }

    /** Why this node trusts its own view less; empty where it does not. */
    private String doubt() {
        return rival != null
                ? "another process has the name, from " + rival.address()
                : inDoubtOfItself()
                        ? "it stood still for " + Math.round(standstillMs) + " ms and has not heard again"
                        : cutOff()
                                ? "it gets no answers"
                                : runsLate()
                                        ? "it runs late, by " + Math.round(usuallyLateMs) + " ms on average"
                                        : standing == PeerState.JOINING
                                                ? "it has not heard from anybody yet"
                                                : gettingToKnow() ? "it is getting to know the others" : "";
    }

    private boolean cutOff() {
        return unanswered >= UNANSWERED && there() > FEWEST_TO_TELL;
    }

    /** It stood still and wants answers; where the others have all left meanwhile, none will come. */
    private boolean inDoubtOfItself() {
        return Math.min(heardWanted, there() - 1) > 0;
    }

    /**
     * Whatever it does comes late. Danger: a node that gets a small part of a core reads answers and refutations too late, in
     * pauses each of which is too short to count as a standstill, and takes the others for dead.
     */
    private boolean runsLate() {
        return usuallyLateMs > LATE * times.answerMs();
    }

    /** It has just started and does not know all others yet. Danger: hundreds that start at once ask a few seeds without pause. */
    private boolean gettingToKnow() {
        return !agreed && others > 0 && nowMs - bornMs < GETTING_TO_KNOW_ROUNDS * times.roundMs();
    }

    private boolean judges() {
        return rival == null
                && !inDoubtOfItself()
                && !cutOff()
                && !runsLate()
                && !gettingToKnow()
                && standing == PeerState.ALIVE;
    }

    // ---- Rounds ----

    private void round() {
        endOfRound();
        double lastsMs = times.roundMs() * (1 + health) * (0.9 + 0.2 * chance.nextDouble());
        timetable.schedule(nowMs + lastsMs, this::round);
        roundNumber++;
        if (standing == PeerState.LEFT) {
            return;
        }
        contact();
        if (rival != null) {
            return;
        }
        lookForLost();
        Peer next = next();
        if (next == null) {
            return;
        }
        Round begun = new Round();
        begun.asked = next;
        begun.life = next.card.life();
        begun.nonce = chance.nextLong();
        round = begun;
        remember(begun.nonce, next.card.name());
        send(next.card.address(), Kind.PING, next.card.name(), begun.nonce, null, words(next));
        timetable.schedule(nowMs + Math.min(times.answerMs() * (1 + health), 0.8 * lastsMs), () -> askHelpers(begun));
    }

    /** Each other node once before any one twice, in an order by chance. */
    private Peer next() {
        for (int i = 0; i <= members.size(); i++) {
            String name = turnOf.poll();
            if (name == null) {
                List<String> names = new ArrayList<>(members.keySet());
                Collections.sort(names);
                shuffle(names);
                turnOf.addAll(names);
                name = turnOf.poll();
            }
            Peer member = name == null ? null : members.get(name);
            if (member != null && member.standing.there()) {
                return member;
            }
        }
        return null;
    }

    private void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, chance.nextInt(i + 1));
        }
    }

    private void askHelpers(Round asking) {
        if (asking != round || asking.answered) {
            return;
        }
        for (Peer helper : some(HELPERS, asking.asked.card.name())) {
            asking.helpers++;
            send(
                    helper.card.address(),
                    Kind.ASK,
                    helper.card.name(),
                    asking.nonce,
                    asking.asked.card,
                    words(asking.asked, asking.asked.card));
        }
    }

    /** So many others by chance that are held to be alive. */
    private List<Peer> some(int most, String butNot) {
        List<Peer> some = new ArrayList<>();
        for (int i = 0; i < alive.size() && some.size() < most; i++) {
            int at = i + chance.nextInt(alive.size() - i);
            Peer picked = alive.get(at);
            alive.set(at, alive.get(i));
            alive.get(i).aliveAt = at;
            alive.set(i, picked);
            picked.aliveAt = i;
            if (!picked.card.name().equals(butNot)) {
                some.add(picked);
            }
        }
        return some;
    }

    private void endOfRound() {
        Round ended = round;
        round = null;
        if (ended == null || ended.answered) {
            return;
        }
        if (ended.notFound > 0) {
            heardSomebody(0);
        } else {
            unanswered++;
        }
        // Danger: a node that is slow itself takes others for dead. Helpers that do not even say that they found nobody
        // speak against this node, not against the one that was asked.
        health = Math.min(WORST_HEALTH, health + (ended.helpers > 0 ? ended.helpers - ended.notFound : 0));
        Peer member = members.get(ended.asked.card.name());
        if (member == ended.asked && member.card.life().equals(ended.life) && judges()) {
            accuse(
                    member,
                    self.name(),
                    "no answer in a round of " + Math.round(times.roundMs()) + " ms, " + ended.notFound + " of "
                            + ended.helpers + " helpers had none");
        }
    }

    /**
     * Those behind a cut are found again by asking one of the lost every other round; and who has left and started again, where
     * no seed can tell it of the others.
     */
    private void lookForLost() {
        if (roundNumber % 2 != 0) {
            return;
        }
        List<String> lost = new ArrayList<>();
        members.forEach((name, member) -> {
            if (!member.standing.there()) {
                lost.add(name);
            }
        });
        if (!lost.isEmpty()) {
            Collections.sort(lost);
            ask(members.get(lost.get(chance.nextInt(lost.size()))));
        }
    }

    /**
     * Those whom this node itself suspects are asked again, whatever its own health. Danger: when many come out of a cut at once,
     * all of them with long rounds, a suspect would hear of the suspicion too late to refute it.
     */
    private void askSuspects() {
        timetable.schedule(nowMs + times.roundMs(), this::askSuspects);
        if (standing == PeerState.LEFT || rival != null) {
            return;
        }
        List<String> names = new ArrayList<>();
        members.forEach((name, member) -> {
            if (member.standing == PeerState.SUSPECT && member.accusers.contains(self.name())) {
                names.add(name);
            }
        });
        Collections.sort(names);
        shuffle(names);
        for (String name : names.subList(0, Math.min(SUSPECTS_A_ROUND, names.size()))) {
            ask(members.get(name));
        }
    }

    /** Asks one beside the rounds: an answer counts, none does not. */
    private void ask(Peer member) {
        member.askedAgain = true;
        long nonce = chance.nextLong();
        remember(nonce, member.card.name());
        send(member.card.address(), Kind.PING, member.card.name(), nonce, null, words(member));
    }

    /** Views differ: for a while words go to more nodes, so that a hundred that start at once know each other in seconds. */
    private void differ() {
        if (nowMs >= differUntilMs) {
            timetable.schedule(nowMs + times.roundMs() / HURRIED * chance.nextDouble(), this::hurry);
        }
        differUntilMs = nowMs + 4 * times.roundMs();
    }

    private void hurry() {
        if (nowMs >= differUntilMs || standing == PeerState.LEFT || rival != null) {
            return;
        }
        // Danger: hundreds that start at once know only the seeds, and would ask nobody else ever faster.
        if (!gettingToKnow() || alive.size() >= FEW_KNOWN) {
            some(1, "").forEach(this::ask);
        }
        timetable.schedule(nowMs + times.roundMs() / HURRIED, this::hurry);
    }

    private void remember(long nonce, String name) {
        asked.put(nonce, name);
        if (asked.size() > MOST_ASKED) {
            asked.remove(asked.keySet().iterator().next());
        }
    }

    // ---- Addresses of which nobody knows yet who is there ----

    /** Asks a few addresses who is there; a seed on and on, ever more rarely while nobody answers. */
    private void contact() {
        int left = CONTACTS_A_ROUND;
        for (Contact contact : List.copyOf(contacts.values())) {
            if (left == 0) {
                return;
            }
            if (contact.nextMs > nowMs || contact.kept && known(contact.address)) {
                continue;
            }
            if (!contact.kept && contact.tries >= CONTACT_TRIES) {
                contacts.remove(contact.address);
                continue;
            }
            left--;
            ask(contact);
        }
        if (claimed != null && rivalRounds++ > RIVAL_ROUNDS) {
            outbid();
        }
    }

    private boolean known(String address) {
        return members.values().stream()
                .anyMatch(member -> member.card.address().equals(address) && member.standing.there());
    }

    private void ask(Contact contact) {
        contact.tries++;
        contact.nonce = chance.nextLong();
        double waitMs = times.roundMs() * Math.min(16, 1 << Math.min(4, contact.tries - 1));
        contact.nextMs = nowMs + waitMs * (0.5 + chance.nextDouble());
        send(contact.address, Kind.PING, "", contact.nonce, null, List.of());
    }

    /** Notes an address that is to be asked; null if it is noted already, or there is no room. */
    private Contact meet(String address) {
        if (contacts.containsKey(address)) {
            return null;
        }
        if (contacts.size() >= MOST_CONTACTS) {
            // Danger: invented names fill the memory, and push out the seeds.
            count("contacts refused");
            return null;
        }
        Contact met = new Contact(address, false);
        contacts.put(address, met);
        return met;
    }

    // ---- What is heard ----

    /** A message has come. */
    public void heard(PeerMessage message, double atMs) {
        moveTo(atMs);
        meantMs = Math.max(meantMs, atMs);
        if (!message.from().wellFormed()) {
            count("unusable cards");
            return;
        }
        boolean proof = message.kind() == Kind.ACK && proves(message);
        if (message.from().name().equals(self.name())) {
            if (message.kind() == Kind.PING && message.from().life().compareTo(self.life()) < 0 && rival == null) {
                answer(message, false);
            }
            namesake(message.from(), proof);
            return;
        }
        if (rival != null || standing == PeerState.LEFT) {
            return;
        }
        Peer sender = members.get(message.from().name());
        boolean sameLife =
                sender != null && sender.card.life().equals(message.from().life());
        if (sameLife && message.standing() == PeerState.LEFT) {
            // However old the message is and whatever is held of its sender: a life that has left stays so.
            take(message.from(), PeerState.LEFT, message.from().name(), message.ageMs(), "it says so");
            return;
        }
        boolean trusted = sameLife && sender.standing.there();
        double staleMs = trusted ? sender.staleMs(message.ageMs(), nowMs) : 0;
        if (trusted && staleMs > times.staleMs() + 0.1 * (nowMs - sender.bornKnownMs)) {
            count("stale messages");
            return;
        }
        if (!trusted && sender != null && message.from().life().compareTo(sender.card.life()) < 0) {
            count("messages of former lives");
            if (message.kind() == Kind.PING) {
                // A clock that was set back makes a new life look like a former one; it hears of that and begins
                // another.
                answer(message, false);
            }
            return;
        }
        if (trusted) {
            take(message.from(), message.standing(), message.from().name(), message.ageMs(), "it says so");
            if (message.digest() != digest) {
                differ();
            } else {
                agreed = true;
            }
        } else {
            // Whoever is not known, or is held for gone, is asked itself first: its words may be an hour old.
            count("messages of unknown senders");
            Contact met = meet(message.from().address());
            if (met != null && allowed(false)) {
                ask(met);
            }
        }
        for (PeerUpdate word : message.words()) {
            // Danger: two sides of a cut that hold each other for gone would trust no word that they are not. What a
            // new answer says of this node itself it may refute, whoever says so.
            if (trusted || proof && word.card().name().equals(self.name())) {
                word(word, message.from().name());
            }
        }
        switch (message.kind()) {
            case PING -> answer(message, trusted);
            case ASK -> errand(message, trusted);
            case FOUND -> found(message, trusted);
            case NOT_FOUND -> {
                if (trusted && round != null && round.nonce == message.nonce()) {
                    // Danger: one that comes twice would count for two helpers.
                    round.notFound = Math.min(round.helpers, round.notFound + 1);
                }
            }
            default -> {}
        }
    }

    /** Danger: a flood of questions would make this node send without bound, and starve those that it knows. */
    private boolean allowed(boolean known) {
        answers = Math.min(times.answersPerS(), answers + (nowMs - answersMs) / 1000 * times.answersPerS());
        answersToUnknown = Math.min(
                times.answersPerS() / 2.0, answersToUnknown + (nowMs - answersMs) / 2000 * times.answersPerS());
        answersMs = nowMs;
        if (answers < 1 || !known && answersToUnknown < 1) {
            count("answers held back");
            return false;
        }
        answers--;
        answersToUnknown -= known ? 0 : 1;
        return true;
    }

    private void answer(PeerMessage message, boolean known) {
        if (!allowed(known)) {
            return;
        }
        Peer asker = members.get(message.from().name());
        List<PeerUpdate> words = known ? words(asker) : asker == null ? List.of() : List.of(word(asker));
        send(message.from().address(), Kind.ACK, message.from().name(), message.nonce(), null, words);
    }

    /** An answer to what this node asked lately; what it holds of the sender is taken up. */
    private boolean proves(PeerMessage message) {
        PeerDescriptor from = message.from();
        Errand errand = errands.remove(message.nonce());
        if (errand != null && errand.about.name().equals(from.name())) {
            send(errand.address, Kind.FOUND, "", errand.nonce, from, List.of());
        }
        Contact contact = contacts.values().stream()
                .filter(each -> each.tries > 0 && each.nonce == message.nonce())
                .findFirst()
                .orElse(null);
        String name = asked.remove(message.nonce());
        if (errand == null && contact == null && !from.name().equals(name)) {
            count("answers to nothing asked");
            return false;
        }
        if (contact != null) {
            contact.tries = 1;
            if (!contact.kept) {
                contacts.remove(contact.address);
            }
        }
        if (from.name().equals(self.name())) {
            return true;
        }
        Peer member = members.get(from.name());
        if (member != null && from.life().compareTo(member.card.life()) < 0) {
            return false;
        }
        take(from, message.standing(), from.name(), message.ageMs(), "it answers");
        member = members.get(from.name());
        if (member != null && member.card.life().equals(from.life())) {
            member.heardMs = nowMs;
            member.bornMs = nowMs - message.ageMs();
            member.bornKnownMs = nowMs;
            answered(member, message.nonce());
        }
        return true;
    }

    private void answered(Peer member, long nonce) {
        heardSomebody(1);
        if (round != null && round.nonce == nonce && round.asked == member) {
            round.answered = true;
            health = Math.max(0, health - 1);
        }
        if (standing == PeerState.JOINING) {
            become(PeerState.ALIVE);
            event(self, PeerState.JOINING, PeerState.ALIVE, self.name(), "it has heard from " + member.card.name());
        }
    }

    /**
     * Somebody has told this node something new. Danger: while it doubted itself it could hear no refutation, and suspicions
     * whose time is over would end the moment that it trusts itself again; they begin anew.
     */
    private void heardSomebody(int answers) {
        boolean doubted = cutOff() || inDoubtOfItself();
        unanswered = 0;
        heardWanted = Math.max(0, heardWanted - answers);
        if (doubted && !inDoubtOfItself()) {
            suspicionsBeginAnew();
        }
    }

    private void suspicionsBeginAnew() {
        for (Peer member : members.values()) {
            if (member.standing == PeerState.SUSPECT) {
                member.accusers.clear();
                member.accusedMs = nowMs;
                accuse(member, self.name(), member.why);
            }
        }
    }

    private void errand(PeerMessage message, boolean known) {
        PeerDescriptor about = message.about();
        if (!known || about == null || !about.wellFormed() || errands.size() >= MOST_ERRANDS || !allowed(true)) {
            count("errands refused");
            return;
        }
        long nonce = chance.nextLong();
        errands.put(nonce, new Errand(message.from().address(), message.nonce(), about));
        send(about.address(), Kind.PING, about.name(), nonce, null, words(members.get(about.name())));
        timetable.schedule(nowMs + times.answerMs(), () -> {
            Errand open = errands.remove(nonce);
            if (open != null) {
                send(open.address, Kind.NOT_FOUND, "", open.nonce, null, List.of());
            }
        });
    }

    private void found(PeerMessage message, boolean known) {
        PeerDescriptor about = message.about();
        if (!known
                || about == null
                || round == null
                || round.nonce != message.nonce()
                || !about.name().equals(round.asked.card.name())) {
            return;
        }
        word(new PeerUpdate(about, PeerState.ALIVE, 0, ""), message.from().name());
        if (about.life().compareTo(round.life) >= 0) {
            round.answered = true;
            heardSomebody(0);
        }
    }

    // ---- What is held ----

    private void word(PeerUpdate word, String from) {
        if (!word.card().wellFormed()) {
            count("unusable cards");
            return;
        }
        if (word.card().name().equals(self.name())) {
            ofMyself(word, from);
            return;
        }
        Peer member = members.get(word.card().name());
        if (member == null && !word.standing().there()) {
            // Danger: whom all have forgotten would be handed round without end.
            return;
        }
        if (word.standing() == PeerState.SUSPECT
                && member != null
                && member.standing == PeerState.SUSPECT
                && member.card.life().equals(word.card().life())
                && member.card.turn() == word.card().turn()) {
            accuse(member, word.by(), "accused by " + word.by());
        }
        take(
                word.card(),
                word.standing(),
                from,
                word.ageMs(),
                word.by().isEmpty() ? "told" : "accused by " + word.by());
        member = members.get(word.card().name());
        if (member != null && member.card.life().equals(word.card().life())) {
            member.aged(word.ageMs(), nowMs);
            if (word.standing().there()) {
                member.toldMs = nowMs;
            }
            if (word.standing() == PeerState.SUSPECT
                    && member.standing == PeerState.SUSPECT
                    && member.accusers.isEmpty()) {
                accuse(member, word.by(), "accused by " + word.by());
            }
        }
    }

    /** Takes up what outranks the word held; the one place where what is held moves. */
    private void take(PeerDescriptor card, PeerState is, String from, double ageMs, String why) {
        Peer member = members.get(card.name());
        if (member != null && PeerUpdate.compare(card, is, member.card, member.standing) <= 0) {
            return;
        }
        PeerState was = member == null ? null : member.standing;
        if (member == null) {
            if (members.size() >= times.mostPeers() && !forgetOne()) {
                count("peers refused");
                return;
            }
            member = new Peer(card, is);
            members.put(card.name(), member);
            // At a place by chance among those to be asked, so that news of many does not make all ask in one order.
            List<String> names = new ArrayList<>(turnOf);
            names.add(chance.nextInt(names.size() + 1), card.name());
            turnOf.clear();
            turnOf.addAll(names);
        } else if (!member.card.life().equals(card.life())) {
            member.heardMs = Double.NaN;
            member.bornMs = Double.NaN;
            member.bornKnownMs = Double.NaN;
            member.toldMs = Double.NaN;
        }
        boolean sameStanding = was == is && member.card.life().equals(card.life());
        if (member.due != null) {
            timetable.cancel(member.due);
            member.due = null;
        }
        member.accusers.clear();
        member.askedAgain = false;
        member.card = card;
        member.standing = is;
        there(member, is);
        member.sinceMs = sameStanding ? member.sinceMs : nowMs;
        member.from = from;
        member.why = why;
        tell(member, 0);
        member.aged(ageMs, nowMs);
        digest ^= member.hash;
        member.hash = is.there() ? hash(card, is) : 0;
        digest ^= member.hash;
        if (!is.there()) {
            Peer kept = member;
            member.due = timetable.schedule(nowMs + times.keptMs(), () -> forget(kept));
        }
        event(card, was, is, from, why);
    }

    private void tell(Peer member, int passedOn) {
        member.passedOn = passedOn;
        if (!member.standingIsNews) {
            member.standingIsNews = true;
            fresh.add(member);
        }
    }

    /** It stands so from now on; null: it is forgotten. */
    private void there(Peer member, PeerState is) {
        others += (is != null && is.there() ? 1 : 0) - (member.isThere ? 1 : 0);
        member.isThere = is != null && is.there();
        if (is == PeerState.ALIVE && member.aliveAt < 0) {
            member.aliveAt = alive.size();
            alive.add(member);
        } else if (is != PeerState.ALIVE && member.aliveAt >= 0) {
            Peer last = alive.remove(alive.size() - 1);
            if (last != member) {
                alive.set(member.aliveAt, last);
                last.aliveAt = member.aliveAt;
            }
            member.aliveAt = -1;
        }
    }

    /** The accuser's own rounds, or word of another one's. Each further accuser makes the time to refute shorter. */
    private void accuse(Peer member, String by, String why) {
        if (!member.standing.there() || by.isEmpty() || member.accusers.contains(by)) {
            return;
        }
        if (member.standing != PeerState.SUSPECT) {
            take(member.card, PeerState.SUSPECT, self.name(), 0, why);
        }
        if (member.accusers.isEmpty()) {
            member.accusedMs = nowMs;
        }
        if (member.accusers.size() < ACCUSERS + 1) {
            member.accusers.add(by);
            tell(member, Math.min(member.passedOn, 1));
        }
        int there = there();
        double leastMs = times.leastSuspicionMs(there);
        double mostMs = 3 * leastMs;
        int wanted = Math.min(ACCUSERS, Math.max(0, there - 3));
        double part = wanted == 0 ? 1 : Math.log(member.accusers.size()) / Math.log(wanted + 1);
        double endsMs = member.accusedMs + Math.max(leastMs, mostMs - (mostMs - leastMs) * part);
        if (member.due != null) {
            timetable.cancel(member.due);
        }
        member.due = timetable.schedule(Math.max(nowMs, endsMs), () -> unrefuted(member));
    }

    private void unrefuted(Peer member) {
        member.due = null;
        if (!judges()) {
            // In doubt of itself it ends no suspicion; it looks again when a round has passed.
            member.due = timetable.schedule(nowMs + times.roundMs(), () -> unrefuted(member));
            return;
        }
        if (!member.askedAgain) {
            // Danger: who was only told of a suspicion hears of its refutation late where there is much to tell; nobody
            // ends one without having asked the suspect itself.
            ask(member);
            member.due = timetable.schedule(nowMs + times.roundMs(), () -> unrefuted(member));
            return;
        }
        String accusers = String.join(", ", member.accusers);
        take(
                member.card,
                PeerState.GONE,
                self.name(),
                0,
                "accused by " + accusers + ", and it did not refute that in " + Math.round(nowMs - member.accusedMs)
                        + " ms");
    }

    private void forget(Peer member) {
        members.remove(member.card.name(), member);
        member.standingIsNews = false;
        there(member, null);
        digest ^= member.hash;
        event(member.card, member.standing, null, self.name(), "nothing heard of it for long");
    }

    /** Makes room: who has been over for the longest goes. */
    private boolean forgetOne() {
        Peer oldest = members.values().stream()
                .filter(member -> !member.standing.there())
                .min(Comparator.comparingDouble((Peer member) -> member.sinceMs)
                        .thenComparing(member -> member.card.name()))
                .orElse(null);
        if (oldest != null) {
            timetable.cancel(oldest.due);
            forget(oldest);
        }
        return oldest != null;
    }

    // ---- This node itself ----

    private void ofMyself(PeerUpdate word, String from) {
        int order = word.card().life().compareTo(self.life());
        if (order > 0) {
            namesake(word.card(), false);
        } else if (order == 0 && word.standing() == PeerState.LEFT && standing != PeerState.LEFT) {
            count("told that it has left");
            reborn(self.at(new Incarnation(self.life().startMs() + 1, chance.nextInt()), 0));
        } else if (order == 0
                && word.standing() != PeerState.LEFT
                && word.card().turn() >= self.turn()
                && word.standing().compareTo(PeerState.ALIVE) > 0) {
            health = Math.min(WORST_HEALTH, health + 1);
            count("refuted");
            reborn(self.at(self.life(), word.card().turn() + 1));
            // Danger: the poorer its health, the rarer its own rounds, and a refutation that comes late is none.
            differ();
            event(
                    self,
                    word.standing(),
                    standing,
                    from,
                    "refuted what " + (word.by().isEmpty() ? from : word.by()) + " said");
        }
    }

    /**
     * A life of this node's own name that is not this one. An earlier one hears of this one and steps back. A later one at
     * this address can only be a former life, by a clock that was set back since: this one begins after it. A later one
     * elsewhere is asked: if it answers, this process steps back, and if not, it is over.
     */
    private void namesake(PeerDescriptor other, boolean answered) {
        if (other.life().compareTo(self.life()) <= 0) {
            if (!other.life().equals(self.life())) {
                meet(other.address());
            }
            return;
        }
        if (other.address().equals(self.address())) {
            begin(other.life());
        } else if (answered) {
            if (rival == null) {
                event(self, standing, standing, other.name(), "another process has the name, from " + other.address());
                count("stepped back");
            }
            rival = other;
            claimed = other;
            rivalRounds = 0;
            meet(other.address());
        } else if (claimed == null) {
            claimed = other;
            rivalRounds = 0;
            meet(other.address());
        }
    }

    /** The other process of this name has not answered for a while. */
    private void outbid() {
        PeerDescriptor over = claimed;
        rival = null;
        claimed = null;
        begin(over.life());
    }

    private void begin(Incarnation former) {
        reborn(self.at(new Incarnation(Math.max(former.startMs(), self.life().startMs()) + 1, chance.nextInt()), 0));
        event(self, standing, standing, self.name(), "begins a life after its former one");
    }

    private void reborn(PeerDescriptor card) {
        digest ^= hash(self, standing);
        self = card;
        digest ^= hash(self, standing);
    }

    private void become(PeerState is) {
        digest ^= hash(self, standing);
        standing = is;
        digest ^= hash(self, standing);
    }

    /** Says at once that this node ends, to as many as pass it on. */
    public void leave(double atMs) {
        moveTo(atMs);
        if (standing == PeerState.LEFT) {
            return;
        }
        standing = PeerState.LEFT;
        event(self, PeerState.ALIVE, PeerState.LEFT, self.name(), "it ends");
        int most = 2 + 2 * (32 - Integer.numberOfLeadingZeros(members.size()));
        List<Peer> told = new ArrayList<>(some(most, ""));
        // Those that it holds for lost may be alive; where hardly anybody else is left, they hear of it, too.
        members.values().stream()
                .filter(member -> member.standing == PeerState.SUSPECT
                        || member.standing == PeerState.GONE
                        || member.standing == PeerState.JOINING)
                .sorted(Comparator.comparing(member -> member.card.name()))
                .limit(Math.max(0, most - told.size()))
                .forEach(told::add);
        for (Peer member : told) {
            send(member.card.address(), Kind.PING, member.card.name(), chance.nextLong(), null, List.of());
        }
    }

    // ---- What is sent ----

    private void send(String address, Kind kind, String to, long nonce, PeerDescriptor about, List<PeerUpdate> words) {
        out.add(new OutgoingMessage(
                address, new PeerMessage(kind, self, standing, nowMs - bornMs, to, nonce, digest, about, words)));
    }

    /** First what this node holds against the one it writes to; then news; then, where views differ, the next of the rest. */
    private List<PeerUpdate> words(Peer other) {
        return words(other, null);
    }

    private List<PeerUpdate> words(Peer other, PeerDescriptor about) {
        List<PeerUpdate> words = new ArrayList<>();
        // Danger: cards with long texts would make the message too large for a datagram, and the node mute.
        int left = times.wordBytes() - Math.max(0, self.bytes() - USUAL_CARD) - (about == null ? 0 : about.bytes());
        if (other != null && other.standing != PeerState.ALIVE && other.standing != PeerState.JOINING) {
            words.add(word(other));
            left -= bytes(other);
        }
        int most = (int) Math.ceil(PASSED_ON * Math.log10(members.size() + 2));
        List<Peer> told = new ArrayList<>();
        for (Deque<Peer> each : List.of(fresh, news)) {
            for (int i = each.size(); i > 0 && (each.peek() == other || bytes(each.peek()) <= left); i--) {
                Peer member = each.poll();
                if (member == other || !member.standingIsNews || told.contains(member)) {
                    told.add(member);
                    continue;
                }
                left -= bytes(member);
                words.add(word(member));
                told.add(member);
                member.passedOn++;
            }
        }
        for (Peer member : told) {
            member.standingIsNews = member.standingIsNews && member.passedOn < most;
            if (member.standingIsNews) {
                news.add(member);
            }
        }
        if (nowMs < differUntilMs) {
            for (int i = members.size(); i > 0; i--) {
                if (slice.isEmpty()) {
                    List<String> names = new ArrayList<>(members.keySet());
                    Collections.sort(names);
                    shuffle(names);
                    slice.addAll(names);
                }
                Peer member = members.get(slice.peek());
                if (member != null && bytes(member) > left) {
                    break;
                }
                slice.poll();
                if (member != null && member != other && !told.contains(member)) {
                    left -= bytes(member);
                    words.add(word(member));
                }
            }
        }
        return words;
    }

    private static int bytes(Peer member) {
        return member.card.bytes()
                + (member.accusers.isEmpty() ? 0 : member.accusers.get(0).length());
    }

    private PeerUpdate word(Peer member) {
        return new PeerUpdate(
                member.card,
                member.standing,
                member.ageMs(nowMs),
                member.standing == PeerState.SUSPECT && !member.accusers.isEmpty()
                        ? member.accusers.get(
                                member.accusers.contains(self.name()) ? member.accusers.indexOf(self.name()) : 0)
                        : "");
    }

    /** What is to be sent now; handed out once. */
    public List<OutgoingMessage> take() {
        List<OutgoingMessage> taken = List.copyOf(out);
        out.clear();
        return taken;
    }

    // ---- What is known ----

    public PeerDescriptor self() {
        return self;
    }

    /** What has changed since this was last asked, at most the latest thousand. */
    public List<PeerEvent> events() {
        List<PeerEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    private void event(PeerDescriptor card, PeerState was, PeerState is, String by, String why) {
        if (events.size() >= MOST_EVENTS) {
            events.poll();
            count("events left out");
        }
        events.add(new PeerEvent(nowMs, card, was, is, by, why, doubt()));
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    private int there() {
        return 1 + others;
    }

    public MembershipView view(double atMs) {
        List<Seen> seen = new ArrayList<>();
        String doubt = doubt();
        seen.add(new Seen(self, standing, bornMs, self.name(), Sure.HEARD, atMs, "this node"));
        int least = 1;
        int most = 1;
        for (Peer member : members.values()) {
            boolean heard = atMs - member.heardMs < 4 * times.roundMs() * Math.max(4, members.size());
            Sure sure = member.standing == PeerState.SUSPECT || !doubt.isEmpty()
                    ? Sure.DOUBTED
                    : heard ? Sure.HEARD : Sure.TOLD;
            least += member.standing == PeerState.ALIVE && doubt.isEmpty() ? 1 : 0;
            most += member.standing == PeerState.LEFT ? 0 : 1;
            seen.add(new Seen(
                    member.card, member.standing, member.sinceMs, member.from, sure, member.heardMs, member.why));
        }
        seen.sort(Comparator.comparing(each -> each.card().name()));
        most += (int) contacts.values().stream()
                .filter(contact -> !known(contact.address)
                        && members.values().stream()
                                .noneMatch(member -> member.card.address().equals(contact.address)))
                .count();
        return new MembershipView(
                self.name(), standing, doubt, atMs, there(), least, most, List.copyOf(seen), Map.copyOf(counts));
    }

    /**
     * Who is there, in which life and turn, and whether it has heard from anybody yet. Danger: where hundreds start at once the
     * news that one of them has may miss a node, which would hold it for joining until the two happen to talk. Suspicions are
     * left out, they end by themselves.
     */
    private static long hash(PeerDescriptor card, PeerState standing) {
        long hash = card.name().hashCode() * 0x9E3779B97F4A7C15L
                ^ card.life().startMs() * 0xC2B2AE3D27D4EB4FL
                ^ card.life().nonce() * 0x165667B19E3779F9L
                ^ card.turn() * 0xD6E8FEB86659FD93L
                ^ (standing == PeerState.JOINING ? 0x2545F4914F6CDD1DL : 0);
        hash ^= hash >>> 32;
        hash *= 0x9FB21C651E98DF25L;
        return hash ^ hash >>> 28;
    }
}
