package spartrail.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import spartrail.model.Attempt;
import spartrail.model.AttemptBatch;
import spartrail.model.Decisions;
import spartrail.model.Layout;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;
import spartrail.model.SlidingWindowCounter;
import spartrail.model.TimerQueue;

/**
 * All decisions of a front node.
 *
 * <p>How it is reached: through {@link Coordinator}, in this package. A caller says once what it read at start, then
 * {@link #place} for each multiget, {@link #after} for each outcome, {@link #waitMs} for the time until {@link #waited};
 * news come by the other calls. Each returns {@link Decisions}: plain lists of what to do now.
 *
 * <p>The ordinary path is {@link #place} and {@link #release}: every part joins its shard's queue under the
 * key of its multiget (deadline window, then rank hashed from the id), and leaves in key order as soon as a
 * replica is under its in-flight limit, for the replica with the fewest of our calls out, ties in turn.
 *
 * <p>Beside it stand six mechanisms, each in a section below:
 * 1. admission and pushback, by importance against the time left;
 * 2. further sends, their number by importance, within the rules of effects and budget;
 * 3. health of servers, from answers and silence, against the other servers;
 * 4. allowance of cold servers, this node's share of the fleet's;
 * 5. when to answer, partly answer or give up;
 * 6. following the list.
 */
public final class WindowCoordinator implements Coordinator {
    private static final int RANKS = 32_768;
    private static final int FIRST_LIMIT = 4;
    private static final double BEAT_MS = 100;
    /** Width of a deadline window. */
    private static final double WINDOW_MS = 250;
    /** An answer within this many times what a server with nothing else of ours takes lets a limit grow. */
    private static final double USUAL = 2;
    /** A send that takes this share of its latency budget counts as timed out for its server's limit. */
    private static final double TIME_OUT = 0.15;
    /** Weight of a new sample in what is learned. */
    private static final double LEARN = 0.1;
    /** A sum of weights may fall short by rounding. */
    private static final double ROUNDING = 1e-4;

    private static final Comparator<Part> KEY_ORDER = Comparator.<Part>comparingLong(part -> part.multiget.window)
            .thenComparingInt(part -> part.multiget.rank)
            .thenComparingLong(part -> part.multiget.id)
            .thenComparingLong(part -> part.id);

    private final RandomGenerator random;
    private final List<OpType> opTypes;
    final Map<String, Server> servers = new LinkedHashMap<>();
    final TimerQueue timetable = new TimerQueue();
    private Decisions decisions = new Decisions();
    private double now;
    private double nextBeatMs;
    private long turns;
    private double wakeMs = Double.MAX_VALUE;
    /** When this node last came back later than the next turn was asked for. */
    private double backMs = Double.NEGATIVE_INFINITY;

    private int nodes = 1;
    private double turnMs = 1;
    private Layout layout;
    private int partsPerCall = 1;

    public WindowCoordinator(RandomGenerator random, List<OpType> opTypes) {
        this.random = random;
        this.opTypes = opTypes;
    }

    @Override
    public Coordinator nodes(int count, double shortestTurnMs) {
        nodes = Math.max(1, count);
        turnMs = shortestTurnMs;
        return this;
    }

    @Override
    public Coordinator layout(int shardCount, int cellCount, int cellsPerShard, int mostPartsPerCall) {
        layout = new Layout(shardCount, cellCount, cellsPerShard, KEY_ORDER);
        partsPerCall = Math.max(1, mostPartsPerCall);
        return this;
    }

    @Override
    public Shard shard(int number) {
        return layout.shards.get(number);
    }

    // ---- The ordinary path ----

    @Override
    public Decisions place(Multiget mg, double nowMs) {
        begin(nowMs);
        taken.forget(now - budgetSpanMs);
        taken.add(now, mg.parts.size() + 1);
        mg.clientAtMs = now + mg.clientLeftMs;
        mg.budgetAtMs = now + mg.opType.budgetMs;
        mg.window = (long) Math.floor(mg.budgetAtMs / WINDOW_MS);
        mg.rank = rank(mg.id);
        if (!admitted(mg)) {
            mg.opType.learned.barredMs = Math.min(mg.opType.learned.barredMs, now);
            giveUp(mg);
            return decisions;
        }
        timetable.add(mg.budgetAtMs - 3 * turnMs, mg.dues, () -> budgetEnds(mg));
        timetable.add(mg.clientAtMs - 2 * turnMs, mg.dues, () -> clientEnds(mg));
        mg.tasting = mg.parts.size() > 1 && couldKill(mg);
        if (mg.tasting) {
            double usuallyMs = usualMs(mg.opType) + mg.opType.learned.deviationMs;
            timetable.add(now + usuallyMs, mg.dues, () -> resume(mg));
        }
        for (Part part : mg.parts) {
            mg.openParts++;
            mg.openWeight += part.weight;
            if (!mg.tasting || part == mg.parts.get(0)) {
                hold(part);
            }
        }
        release(shardsOf(mg));
        return decisions;
    }

    /** Puts a part in its place in its shard's queue. */
    private void hold(Part part) {
        part.held = true;
        part.heldSinceMs = now;
        part.shard.queue.add(part);
        part.multiget.heldAt.add(part.shard);
    }

    private static List<Shard> shardsOf(Multiget mg) {
        return mg.parts.stream().map(part -> part.shard).toList();
    }

    /** Lets parts go from these shards' queues, the first key first, while a replica has room for them. */
    private void release(Collection<Shard> from) {
        TreeSet<Part> heads = new TreeSet<>(KEY_ORDER);
        from.forEach(shard -> addHeads(shard, heads));
        while (!heads.isEmpty()) {
            Part next = heads.pollFirst();
            // Danger: what was given up on the way must not leave any more.
            Server to = next.held ? pick(next) : null;
            if (to == null) {
                continue;
            }
            // Danger: a repeat that was harmless when it joined the queue need not be so when it leaves.
            if (!next.sends.isEmpty() && !mayRepeat(next)) {
                unhold(next);
                if (!next.sendOut()) {
                    lose(next);
                }
                addHeads(next.shard, heads);
                continue;
            }
            unhold(next);
            next.shard.delayMs += (now - next.heldSinceMs - next.shard.delayMs) * LEARN;
            boolean opens = !callOpen(to);
            send(next, to);
            addHeads(next.shard, heads);
            if (opens && partsPerCall > 1) {
                to.shards.forEach(shard -> addHeads(shard, heads));
            }
        }
    }

    /**
     * The parts of a queue that may leave next: its first, and those behind repeats. Danger: a repeat that may not go
     * to the one replica with room would hold up all behind it.
     */
    private static void addHeads(Shard shard, TreeSet<Part> heads) {
        for (Part part : shard.queue) {
            heads.add(part);
            if (part.sends.isEmpty()) {
                break;
            }
        }
    }

    /** The eligible replica with the fewest of our calls out once it has this part too; null if none has room. */
    private Server pick(Part part) {
        List<Server> replicas = part.shard.replicas;
        List<Server> fit = those(replicas, server -> sound(server) && !part.triedAt(server));
        Server best = fewestOut(part, fit);
        if (best == null) {
            // Danger: sound replicas drown while an ill one that still answers is spared all work.
            best = fewestOut(part, those(replicas, server -> answering(server) && !part.triedAt(server)));
        }
        return best == null && fit.isEmpty() ? fewestOut(part, replicas) : best;
    }

    private static List<Server> those(Collection<Server> servers, Predicate<Server> wanted) {
        return servers.stream().filter(wanted).toList();
    }

    private Server fewestOut(Part part, List<Server> replicas) {
        Server best = null;
        int bestLoad = 0;
        int bestShare = 0;
        for (Server server : replicas) {
            if (server.state != Server.State.LIVE
                    || room(server) <= 0
                    || part.outAt(server)
                    || !coldAllows(part, server)) {
                continue;
            }
            int load = server.callsOut + (callOpen(server) ? 0 : 1);
            int share = callShare(part, server);
            if (best == null
                    || load < bestLoad
                    || load == bestLoad
                            && (share > bestShare || share == bestShare && server.lastTurn < best.lastTurn)) {
                best = server;
                bestLoad = load;
                bestShare = share;
            }
        }
        return best;
    }

    /**
     * Parts that may be sent to a server now. Danger: under load each answer frees one place, every part travels alone,
     * and the cost of calls eats the capacity. Where calls carry several parts, a busy server opens one at half its
     * limit.
     */
    private int room(Server server) {
        boolean shared = partsPerCall > 1 && !server.out.isEmpty() && !callOpen(server);
        return (shared ? (server.limit + 1) / 2 : server.limit) - server.out.size();
    }

    private boolean callOpen(Server server) {
        return server.call != null && server.call.sentMs == now && server.call.parts < partsPerCall;
    }

    /** How many held parts of the same multiget could travel in the same call. */
    private int callShare(Part part, Server server) {
        if (partsPerCall == 1) {
            return 0;
        }
        int share = callOpen(server) ? 1 : 0;
        for (Shard shard : server.shards) {
            if (part.multiget.heldAt.contains(shard)) {
                share++;
            }
        }
        return Math.min(share, Math.min(server.limit - server.out.size(), partsPerCall));
    }

    private void send(Part part, Server server) {
        Multiget mg = part.multiget;
        double leftMs = (mg.opType.lateShare > 0 ? mg.clientAtMs : mg.budgetAtMs) - now;
        double timeoutMs = mayRace(part) ? leftMs : Math.min(leftMs, patienceMs(part) * LONE_PATIENCE);
        Attempt send = new Attempt(part, server, part.sends.size(), now, timeoutMs);
        if (!callOpen(server)) {
            server.call = new AttemptBatch(now);
            server.callsOut++;
        }
        send.call = server.call;
        send.call.parts++;
        send.call.out++;
        part.multiget.sendsOut++;
        send.alone = server.callsOut == 1;
        server.out.add(send);
        server.lastTurn = ++turns;
        if (cold(server)) {
            server.coldSends.add(now, 1);
        }
        if (!part.sends.isEmpty()) {
            furtherSends.add(now, 1);
        } else if (part.heldSinceMs == now) {
            furtherFund = Math.min(FUND_MOST, furtherFund + FUND_GAIN);
        }
        part.sends.add(send);
        // Danger: a first attempt whose connection comes up late would leave long after a second one has run.
        send.leaveByMs = part.windowEndsMs() - turnMs;
        decisions.sends.add(send);
        timetable.add(now + usualMs(mg.opType) + mg.opType.learned.deviationMs, mg.dues, () -> overdue(send));
    }

    @Override
    public Decisions after(Attempt send, Attempt.Outcome outcome, double tookMs, double nowMs) {
        begin(nowMs);
        if (!send.out()) {
            return decisions;
        }
        send.outcome = outcome;
        send.server.out.remove(send);
        send.part.multiget.sendsOut--;
        if (--send.call.out == 0) {
            send.server.callsOut--;
        }
        learn(send, outcome, tookMs);
        Part part = send.part;
        if (!part.multiget.over && part.open()) {
            if (outcome == Attempt.Outcome.ANSWERED) {
                close(part);
                part.answered = true;
                part.multiget.answeredWeight += part.weight;
                part.multiget.brokeAt.clear();
                unhold(part);
                cancelSends(part);
                answerIfDone(part.multiget);
                resume(part.multiget);
            } else if (!part.held && !part.sendOut()) {
                if (outcome == Attempt.Outcome.RESET) {
                    brokeAt(part.multiget, send.server);
                }
                if (!condemned(part.multiget)) {
                    sendFurther(part);
                }
            }
            Multiget mg = part.multiget;
            if (mg.tasting && !mg.over && mg.sendsOut == 0 && mg.heldAt.isEmpty()) {
                giveUp(mg);
            }
        }
        release(send.server.shards);
        return decisions;
    }

    /**
     * The limit of a server: one more for an answer within the usual time when it binds, half for a time-out or full.
     */
    private void adjustLimit(Attempt send, Attempt.Outcome outcome, double tookMs) {
        Server server = send.server;
        OpType op = send.part.multiget.opType;
        // Danger: limits that grow while queues build up at the servers, where nothing puts them in key order. Danger:
        // a part that is lost says nothing of a queue; where later ones were answered, it does not count.
        boolean timedOut = outcome == Attempt.Outcome.TIMED_OUT
                || tookMs > op.budgetMs * TIME_OUT
                        && (outcome == Attempt.Outcome.ANSWERED || server.lastAnsweredSentMs <= send.sentMs);
        if ((outcome == Attempt.Outcome.FULL || timedOut) && send.sentMs >= server.halvedMs) {
            server.limit = Math.max(1, server.limit / 2);
            server.halvedMs = now;
        } else if (outcome == Attempt.Outcome.ANSWERED
                && tookMs <= USUAL * op.learned.lightMs
                && server.out.size() + 1 >= server.limit) {
            server.limit++;
        }
    }

    private void unhold(Part part) {
        if (part.held) {
            part.held = false;
            part.shard.queue.remove(part);
            part.multiget.heldAt.remove(part.shard);
        }
    }

    /** No more answer of this part is waited for. */
    private static void close(Part part) {
        if (part.open()) {
            part.multiget.openParts--;
            part.multiget.openWeight -= part.weight;
        }
    }

    private void abandon(Part part) {
        unhold(part);
        close(part);
        part.abandoned |= !part.answered;
    }

    private static int rank(long id) {
        long mixed = (id + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (int) ((mixed ^ mixed >>> 31) & (RANKS - 1));
    }

    // ---- 1. Admission and pushback ----

    private static final double EVIDENCE_MS = 3000;
    /** The least important op types may use this share of their budget, the most important all. */
    private static final double LEAST_PATIENCE = 0.4;

    /** How long parts wait at servers beyond the light time, its mean deviation, and when that was seen. */
    private double waitMs;

    private double waitDeviationMs;
    private double learnedMs;

    private boolean comebackAllowed;
    private double longestComebackMs;

    @Override
    public Coordinator comeback(boolean allowed, double longestMs) {
        comebackAllowed = allowed;
        longestComebackMs = longestMs;
        return this;
    }

    /** Under overload work is turned away before it costs anything, or all of it would be served too late. */
    private boolean admitted(Multiget mg) {
        OpType op = mg.opType;
        // Danger: a try that cannot be answered in the time it has takes capacity and earns nothing, or little once its
        // budget is over. That a client gives little time does not tell that it has tried before, unless it says so.
        boolean spent = mg.clientRetry && mg.clientLeftMs <= op.timeoutMs - op.budgetMs;
        if (spent || mg.clientLeftMs < known(op) * (usualMs(op) + op.learned.deviationMs)) {
            return false;
        }
        double delayMs = 0;
        for (Part part : mg.parts) {
            delayMs = Math.max(delayMs, delayOf(part.shard));
        }
        double patience = LEAST_PATIENCE + (1 - LEAST_PATIENCE) * standing(op);
        if (delayMs > 0) {
            return delayMs + known(op) * (usualMs(op) + 2 * op.learned.deviationMs)
                    <= patience * Math.min(op.budgetMs, mg.clientLeftMs);
        }
        // Danger: of many nodes none holds anything, and the queues that all of them make at the servers turn nobody
        // away. What answers of any op type take beyond the light time tells of those queues. Danger: where nothing is
        // admitted nothing is learned; what was seen fades with its age.
        double fresh = 1 - Math.min(1, (now - learnedMs) / EVIDENCE_MS);
        return known(op) * op.learned.lightMs + (waitMs + waitDeviationMs) * fresh
                <= Math.min(patience * op.budgetMs, mg.clientLeftMs);
    }

    // Danger: an op type turned away teaches nothing of itself; what was seen of it fades meanwhile.
    private double known(OpType op) {
        return 1 - Math.min(1, Math.max(0, now - op.learned.barredMs) / FADE_MS);
    }

    private double delayOf(Shard shard) {
        return shard.queue.isEmpty() ? 0 : Math.max(shard.delayMs, now - shard.queue.first().heldSinceMs);
    }

    /** When a client that is turned away is to come back: once what is held now has left. */
    private double comebackMs(Multiget mg) {
        double delayMs =
                mg.parts.stream().mapToDouble(part -> part.shard.delayMs).max().orElse(0);
        return comebackAllowed ? Math.min(longestComebackMs, Math.max(usualMs(mg.opType), delayMs)) : 0;
    }

    // ---- 2. Further sends ----

    /** A send is overdue after the usual time and so many of its mean deviations. */
    private static final double OVERDUE_DEVIATIONS = 4;
    /** Where no second copy may race, a send is given this many times longer before it is timed out. */
    private static final double LONE_PATIENCE = 2;

    private static final double FUND_MOST = 20;
    private static final double STRAGGLERS = 0.1;
    /**
     * First sends that left at once fund further ones, up to a most. Danger: copies feed a collapse. Where parts are
     * held there is no room to spare, and copies dry up; for sends at ill servers, few by their limits, they do not.
     */
    private static final double FUND_GAIN = 0.4;

    private int mostSends = 1;
    private boolean parallel;
    private boolean cancelling;
    private double budgetSpanMs;
    private double budgetFromMs;
    private double budgetFree;
    private double budgetShare;
    private double furtherFund = FUND_MOST / 2;
    private final SlidingWindowCounter furtherSends = new SlidingWindowCounter();
    private final SlidingWindowCounter taken = new SlidingWindowCounter();

    @Override
    public Coordinator sends(int most, boolean parallelAllowed, boolean cancellingAllowed) {
        mostSends = most;
        parallel = parallelAllowed;
        cancelling = cancellingAllowed;
        return this;
    }

    @Override
    public Coordinator furtherSendBudget(double spanMs, double free, double share) {
        // Danger: what was sent before the old span is forgotten; a longer one waits for its own.
        budgetFromMs = turns > 0 && spanMs > budgetSpanMs ? now + spanMs - budgetSpanMs : budgetFromMs;
        budgetSpanMs = spanMs;
        budgetFree = free;
        budgetShare = share;
        return this;
    }

    /** The stated budget. Danger of a rule broken by one send more than it: both ends are cut short. */
    private boolean inBudget() {
        int made = furtherSends.since(now - budgetSpanMs - turnMs) + 1;
        int had = taken.since(now - budgetSpanMs + 2 * turnMs);
        return budgetSpanMs <= 0 || now >= budgetFromMs && made <= budgetFree + budgetShare * had;
    }

    /** Sends that a part may have by the importance of its op type against the others'. */
    private int sendsFor(OpType op) {
        return Math.min(mostSends, 2 + (int) Math.ceil((mostSends - 2) * standing(op)));
    }

    /** Its importance over that of the most important op type. */
    private double standing(OpType op) {
        double most =
                opTypes.stream().mapToDouble(other -> other.importance).max().orElse(0);
        return most > 0 ? op.importance / most : 1;
    }

    private boolean mayRace(Part part) {
        return parallel && part.multiget.opType.repeat != OpType.Repeat.NON_RETRIABLE;
    }

    /** Whether the rules of effects and budget let this part have another send. */
    private boolean mayRepeat(Part part) {
        OpType op = part.multiget.opType;
        if (part.sendOut() && !mayRace(part) || part.sends.size() >= sendsFor(op) || !inBudget()) {
            return false;
        }
        return switch (op.repeat) {
            case RETRIABLE -> true;
            case NON_RETRIABLE -> part.sends.stream().allMatch(Attempt::neverRan);
            case DEDUPED -> now < part.windowEndsMs() - turnMs;
        };
    }

    private double usualMs(OpType op) {
        return op.learned.usualMs > 0 ? op.learned.usualMs : op.budgetMs / 8;
    }

    private double patienceMs(Part part) {
        OpType op = part.multiget.opType;
        return usualMs(op) + OVERDUE_DEVIATIONS * (op.learned.usualMs > 0 ? op.learned.deviationMs : op.budgetMs / 16);
    }

    /** A part with no send out goes back to its place in the queue, or is lost to its multiget. */
    private void sendFurther(Part part) {
        if (mayRepeat(part)) {
            hold(part);
        } else {
            lose(part);
        }
    }

    private static final int WIDE_PARTS = 32;
    private static final double DEATHS_MS = 20_000;
    /** Connections broken at so many servers, nothing answered, tell of a killer; so does that of a first part alone. */
    private static final int BREAKS = 2;
    /** One that could reach this share of the servers, by so many parts, is wide. */
    private static final double WIDE = 0.25;
    /** So many servers that died unannounced, in so long, tell of killers. */
    private static final int DEATHS = 3;

    private final SlidingWindowCounter deaths = new SlidingWindowCounter();

    /**
     * Danger: a multiget whose parts bring servers down does so with its first sends, and a wide one takes the fleet
     * along at once. A wide one, and any while servers die unannounced, sends one part first: the others follow with
     * its answer, or after the usual time where nothing broke.
     */
    private boolean couldKill(Multiget mg) {
        return deaths.since(now - DEATHS_MS) >= DEATHS
                || mg.parts.size() >= Math.max(WIDE_PARTS, WIDE * servers.size() * partsPerCall);
    }

    /** Nothing further of it is sent: what is out must tell, and with nothing out any more it is given up. */
    private static boolean condemned(Multiget mg) {
        return mg.tasting && !mg.brokeAt.isEmpty();
    }

    private void brokeAt(Multiget mg, Server server) {
        mg.brokeAt.add(server);
        if (mg.answeredWeight == 0 && mg.brokeAt.size() >= BREAKS) {
            mg.tasting = true;
            mg.parts.forEach(this::unhold);
        }
    }

    /** All that waited for a first answer goes on. */
    private void resume(Multiget mg) {
        if (mg.over || !mg.tasting || !mg.brokeAt.isEmpty()) {
            return;
        }
        mg.tasting = false;
        for (Part part : mg.parts) {
            if (!mg.over && part.open() && !part.held && !part.sendOut()) {
                if (part.sends.isEmpty()) {
                    hold(part);
                } else {
                    sendFurther(part);
                }
            }
        }
        release(shardsOf(mg));
    }

    private void lose(Part part) {
        abandon(part);
        answerIfDone(part.multiget);
    }

    /**
     * Silence or slowness of one send: its part joins its queue again, for a copy at another replica. Danger: a server
     * that loses parts and answers the rest quickly; what later answers have overtaken is taken for lost early.
     */
    private void overdue(Attempt send) {
        Part part = send.part;
        boolean latest = part.sends.get(part.sends.size() - 1) == send;
        if (!send.out() || part.multiget.over || !part.open() || part.held || !latest || !mayRepeat(part)) {
            return;
        }
        // Danger: the last few parts decide when all the others are answered; there are few of them to copy.
        boolean straggles = part.multiget.openParts <= STRAGGLERS * part.multiget.parts.size();
        double lostAtMs = send.sentMs + (straggles ? 0 : patienceMs(part));
        boolean lost = send.server.lastAnsweredSentMs > send.sentMs || now >= lostAtMs;
        // Under overload a copy only takes room that nothing else wants; one that waits on an ill server is due its
        // turn.
        boolean funded = !justBack() && furtherFund >= 1 && pick(part) != null;
        if (!condemned(part.multiget) && lost && (send.server.ill || funded)) {
            furtherFund -= send.server.ill ? 0 : 1;
            hold(part);
            release(List.of(part.shard));
        } else {
            double againMs = lost ? now + BEAT_MS : Math.min(now + BEAT_MS, lostAtMs);
            timetable.add(againMs, part.multiget.dues, () -> overdue(send));
        }
    }

    private void cancelSends(Part part) {
        for (Attempt send : part.sends) {
            if (cancelling && send.out() && !send.cancelled) {
                send.cancelled = true;
                decisions.cancels.add(send);
            }
        }
    }

    // ---- 3. Health of servers ----

    private static final double PACE_LEARN = 0.3;
    private static final double ANSWERING_MS = 1000;
    /** A server this many times slower than the middle one is ill. */
    private static final double ILL = 3;
    /** What a failure counts as, in times the usual: fast errors must not attract work. */
    private static final double FAILURE_PACE = 5;
    /**
     * A verdict fades over this time, so that a server that is well again is found by the first sends of a low limit.
     */
    private static final double FADE_MS = 4000;
    /** Longer where all of a zone would be tried again at once. */
    private static final double ZONE_FADE_MS = 12_000;

    /** The pace of each zone's servers together. */
    private final Map<String, Double> zonePaces = new LinkedHashMap<>();

    private boolean sound(Server server) {
        return server.state == Server.State.LIVE && !server.ill;
    }

    /** Ill or not, it has answered lately. */
    private boolean answering(Server server) {
        return now - server.lastAnswerMs < ANSWERING_MS;
    }

    private void learn(Attempt send, Attempt.Outcome outcome, double tookMs) {
        Server server = send.server;
        OpType op = send.part.multiget.opType;
        if (send.sentMs < server.bornMs) {
            return; // Of a process that is no more.
        }
        if (outcome == Attempt.Outcome.ANSWERED) {
            server.lastAnswerMs = now;
            server.lastAnsweredSentMs = Math.max(server.lastAnsweredSentMs, send.sentMs);
            server.answers++;
        }
        if (justBack()) {
            return;
        }
        adjustLimit(send, outcome, tookMs);
        // Danger: a cold server is as slow as its age says; judged ill for it, it would never get its share.
        double pace = warmth(server) * tookMs / Math.max(1, usualMs(op));
        switch (outcome) {
            case ANSWERED -> {
                notePace(server, pace);
                learnedMs = now;
                // Danger: what an ill server takes, or a cold one by its age, looks like queues everywhere.
                double waitedMs = server.ill ? 0 : warmth(server) * Math.max(0, tookMs - op.learned.lightMs);
                waitDeviationMs += (Math.abs(waitedMs - waitMs) - waitDeviationMs) * LEARN;
                waitMs += (waitedMs - waitMs) * LEARN;
                double learn = Math.max(LEARN, 1 - known(op));
                OpType.Learned of = op.learned;
                of.barredMs = Double.MAX_VALUE;
                double step = of.usualMs == 0 ? 1 : learn;
                of.deviationMs = of.usualMs == 0
                        ? tookMs / 2
                        : of.deviationMs + (Math.abs(tookMs - of.usualMs) - of.deviationMs) * learn;
                of.usualMs += (tookMs - of.usualMs) * step;
                // Danger: under overload no server is idle; the figure falls quickly and rises slowly. Danger: a slow
                // first answer would stand for it until servers are idle again.
                double lightStep = of.lightMs == 0 ? 1 : tookMs < of.lightMs ? learn : LEARN / 40;
                of.lightMs += send.alone ? (tookMs - of.lightMs) * lightStep : 0;
                of.lightMs = Math.min(of.lightMs, of.usualMs);
            }
                // Danger: a server that loses half of its parts and answers the rest quickly looks well by its answers.
            case CANCELLED -> notePace(
                    server,
                    tookMs > patienceMs(send.part) ? Math.max(pace, FAILURE_PACE) : Math.max(pace, server.pace));
            case ERROR, RESET, TIMED_OUT -> notePace(server, Math.max(pace, FAILURE_PACE));
                // Danger: one spoilt answer takes along all on its connection, and would count as many.
            case GARBLED -> notePace(server, Math.max(pace, server.garbledMs == now ? server.pace : FAILURE_PACE));
                // Danger: each send to a machine that is down costs its part the time that connecting may take.
            case CONNECT_FAILED -> server.pace = 2 * FAILURE_PACE;
            default -> {}
        }
        server.garbledMs = outcome == Attempt.Outcome.GARBLED ? now : server.garbledMs;
    }

    private void notePace(Server server, double pace) {
        double noted = Math.min(pace, 2 * FAILURE_PACE);
        server.pace += (noted - server.pace) * PACE_LEARN;
        zonePaces.merge(server.zone, noted, (before, sample) -> before + (sample - before) * LEARN);
    }

    /** The pace, or what silence says: how long the oldest send waits where nothing was answered since. */
    private double paceNow(Server server) {
        if (server.out.isEmpty()) {
            return server.pace;
        }
        Attempt oldest = server.out.iterator().next();
        double silentMs = now - Math.max(oldest.sentMs, server.lastAnswerMs);
        OpType op = oldest.part.multiget.opType;
        return Math.max(server.pace, silentMs / (usualMs(op) + op.learned.deviationMs));
    }

    /** Judged against the middle server: a slowdown of all is no outage of some. */
    private void judge() {
        List<Server> live = those(servers.values(), server -> server.state == Server.State.LIVE);
        double[] paces = live.stream().mapToDouble(this::paceNow).sorted().toArray();
        double middle = paces.length == 0 ? 1 : Math.max(1, paces[paces.length / 2]);
        // Danger: a bad way to half of the servers makes its slowness the middle. Zones are judged against the best of
        // them; there are samples enough of a zone where each server is met seldom.
        double best =
                zonePaces.values().stream().mapToDouble(pace -> pace).min().orElse(1);
        zonePaces.replaceAll((zone, pace) -> pace + (1 - pace) * BEAT_MS / ZONE_FADE_MS);
        for (Server server : live) {
            boolean ill = paceNow(server) > ILL * middle || zonePaces.getOrDefault(server.zone, 1.0) > ILL * best;
            if (ill && !server.ill) {
                server.limit = 1;
            }
            server.ill = ill;
            server.pace += (1 - server.pace) * BEAT_MS / FADE_MS;
            server.answerRate += (server.answers / BEAT_MS - server.answerRate) * BEAT_MS / FADE_MS;
            server.answers = 0;
        }
    }

    // ---- 4. Cold servers ----

    /** Share of the allowance that is used, as what a part takes is known roughly. */
    private static final double COLD_CARE = 0.8;

    private double coldShare = 1;
    private double warmMs;
    private double tipMultiple = 1;
    private double fallMs;
    private double coreParts;
    private double warmParts;
    private double busyParts;

    @Override
    public Coordinator coldStart(double leastShare, double warmAfterMs, double tip, double fall) {
        coldShare = leastShare;
        warmMs = warmAfterMs;
        tipMultiple = tip;
        fallMs = fall;
        return this;
    }

    /** The least share of its capacity that a server has at its age. */
    private double warmth(Server server) {
        return cold(server) ? coldShare + (1 - coldShare) * Math.max(0, now - server.bornMs) / warmMs : 1;
    }

    private boolean cold(Server server) {
        return server.bornMs >= 0 && now - server.bornMs < warmMs;
    }

    /** Danger: all nodes push over the same idle fresh server. Each keeps to what a warm one takes of it, by age. */
    private boolean coldAllows(Part part, Server server) {
        if (!cold(server)) {
            return true;
        }
        int sent = server.coldSends.since(now - fallMs);
        double takes = tipMultiple * warmth(server) * fallMs;
        if (sent + 1 <= COLD_CARE * takes * busyParts) {
            return true;
        }
        // Danger: of many nodes each has a share of less than one part, and a fleet that starts anew stands idle. There
        // so few multigets of a node meet one server that those of the lower ranks may pass whole, the same ones at
        // every server: as many as keep what all nodes ask of it, with three deviations of chance, within what it
        // takes. Danger: among idle replicas a cold one is the next in turn for all that may pass it; only with other
        // cold ones it shares that.
        double root = (Math.sqrt(9 + 4 * takes * coreParts) - 3) / 2;
        int sharing = those(part.shard.replicas, replica -> sound(replica) && cold(replica))
                .size();
        int usual = Math.max(layout.reach, part.shard.replicas.size());
        double asked = nodes * warmParts * fallMs * usual / Math.max(1, sharing);
        return part.multiget.rank < RANKS * root * root / asked && server.coldSends.firstMs() >= now;
    }

    /**
     * Parts in a millisecond: what a core takes, what warm servers take from this node on average, at least its share
     * of a core's, and what the busiest does. Danger: of many servers that are seen seldom the busiest is so by chance.
     */
    private void learnWarmParts() {
        coreParts = 1
                / opTypes.stream()
                        .mapToDouble(op -> op.learned.lightMs > 0 ? op.learned.lightMs : usualMs(op))
                        .max()
                        .orElse(1);
        List<Server> warm = those(servers.values(), server -> sound(server) && !cold(server));
        DoubleSummaryStatistics rates =
                warm.stream().mapToDouble(server -> server.answerRate).summaryStatistics();
        warmParts = Math.max(coreParts / nodes, rates.getAverage());
        busyParts = Math.max(warmParts, Math.min(rates.getMax(), 2 * rates.getAverage()));
    }

    // ---- 5. When to answer, partly answer or give up ----

    /** The least weight that an answer may be given from. */
    private static double least(Multiget mg) {
        return Math.min(mg.opType.floor, mg.opType.need);
    }

    private boolean has(Multiget mg, double weight) {
        return mg.answeredWeight >= weight - ROUNDING / 2;
    }

    private void answerIfDone(Multiget mg) {
        if (mg.over) {
            return;
        }
        boolean open = mg.openParts > 0;
        if (has(mg, mg.opType.need)) {
            answer(mg, Multiget.Answer.WHOLE);
        } else if (has(mg, least(mg)) && (!open || now >= mg.budgetAtMs - 3 * turnMs)) {
            answer(mg, Multiget.Answer.PARTIAL);
        } else if (mg.answeredWeight + mg.openWeight < least(mg) - ROUNDING / 2) {
            // What can still come is not enough: given up at once.
            giveUp(mg);
        }
    }

    private void answer(Multiget mg, Multiget.Answer answer) {
        mg.answer = answer;
        decisions.answers.add(mg);
        drop(mg);
    }

    /** Nothing of it is sent any more, and what is out is called back where that may be. */
    private void drop(Multiget mg) {
        mg.over = true;
        for (Part part : mg.parts) {
            abandon(part);
            cancelSends(part);
        }
        timetable.removeAll(mg.dues);
    }

    /** The final answer of a multiget that is given up: pushed back only where a new try is harmless. */
    private void giveUp(Multiget mg) {
        OpType op = mg.opType;
        double comebackMs = comebackMs(mg);
        // A deduped one that may have run is pushed back where its client, told when, comes within the time.
        boolean inTime = op.repeat == OpType.Repeat.DEDUPED && comebackAllowed;
        Predicate<Attempt> mayRunAgain =
                send -> send.neverRan() || inTime && now + 2 * comebackMs < send.sentMs + op.dedupMs;
        boolean harmless = op.repeat == OpType.Repeat.RETRIABLE
                || mg.parts.stream().flatMap(part -> part.sends.stream()).allMatch(mayRunAgain);
        mg.answer = harmless ? Multiget.Answer.PUSHED_BACK : Multiget.Answer.FAILED;
        mg.comebackMs = harmless ? comebackMs : 0;
        decisions.answers.add(mg);
        drop(mg);
    }

    /** The latency budget ends: an answer that may be given is given, and what would earn nothing later is given up. */
    private void budgetEnds(Multiget mg) {
        if (mg.over) {
            return;
        }
        if (now == backMs) {
            timetable.add(now + turnMs, mg.dues, () -> budgetEnds(mg));
            return;
        }
        OpType op = mg.opType;
        if (has(mg, least(mg)) && op.partialShare * mg.answeredWeight / op.need > op.lateShare) {
            answer(mg, Multiget.Answer.PARTIAL);
        } else if (op.lateShare == 0 || op.lateShare < unsentWeight(mg)) {
            // Danger: late work, which goes first by its key, makes all behind it late too; what is left of it may take
            // the share of the work that it still earns of the importance.
            giveUp(mg);
        }
    }

    private static double unsentWeight(Multiget mg) {
        return mg.parts.stream()
                .mapToDouble(part -> part.open() && !part.sendOut() ? part.weight : 0)
                .sum();
    }

    /** The client's time ends: danger of a multiget lost. */
    private void clientEnds(Multiget mg) {
        if (mg.over) {
            return;
        }
        if (has(mg, least(mg))) {
            answer(mg, Multiget.Answer.PARTIAL);
        } else {
            giveUp(mg);
        }
    }

    @Override
    public Decisions clientGone(Multiget mg, double nowMs) {
        begin(nowMs);
        if (!mg.over) {
            drop(mg);
        }
        return decisions;
    }

    // ---- 6. Following the list ----

    private static final double FIRST_ASK_MS = 200;
    private static final double FIRST_BACKOFF_MS = 300;
    private static final double MOST_BACKOFF_MS = 2400;

    private boolean listAsked;
    private double askWithinMs = Double.MAX_VALUE;
    private double backoffMs = FIRST_BACKOFF_MS;
    private double askAtMs = Double.MAX_VALUE;

    @Override
    public Coordinator list(boolean asked, double withinMs) {
        listAsked = asked;
        askWithinMs = withinMs > 0 ? withinMs : Double.MAX_VALUE;
        return this;
    }

    @Override
    public Decisions listed(List<Server> lines, boolean all, boolean fresh, double nowMs) {
        begin(nowMs);
        if (all) {
            servers.values().forEach(server -> server.state = Server.State.GONE);
        }
        for (Server line : lines) {
            Server server = servers.computeIfAbsent(line.id, Server::new);
            if (server.state == Server.State.LIVE
                    && server.limit > 0
                    && (line.state == Server.State.GONE || line.bornMs > server.bornMs)) {
                deaths.forget(now - DEATHS_MS);
                deaths.add(now, 1);
            }
            server.zone = line.zone;
            server.kind = line.kind;
            server.cell = line.cell;
            server.state = line.state;
            server.rating = line.rating;
            if (line.bornMs > server.bornMs || server.limit == 0) {
                // A new process: nothing that was seen of the old one holds.
                server.bornMs = line.bornMs;
                server.limit = cold(server) ? FIRST_LIMIT / 2 : FIRST_LIMIT;
                server.pace = 1;
                server.ill = false;
                server.coldSends.clear();
            }
        }
        layout.tie(servers.values());
        learnWarmParts();
        if (fresh) {
            backoffMs = FIRST_BACKOFF_MS;
            askAtMs = Double.MAX_VALUE;
        } else if (listAsked) {
            askAtMs = now + random.nextDouble() * FIRST_ASK_MS;
        }
        for (Server server : servers.values()) {
            if (server.state == Server.State.GONE) {
                new ArrayList<>(server.out).forEach(this::overdue);
            }
        }
        release(layout.shards);
        return decisions;
    }

    /**
     * Asked again, less and less often and not in step with other nodes, so that a weak list service is not flooded.
     */
    @Override
    public Decisions unlisted(double nowMs) {
        begin(nowMs);
        askAtMs = now + backoffMs * (0.5 + random.nextDouble());
        backoffMs = Math.min(Math.min(MOST_BACKOFF_MS, askWithinMs / 2), 2 * backoffMs);
        return decisions;
    }

    /** Danger: memory fills up. One that is back soon is still known, with the sends that count while it is cold. */
    private void forgetGone() {
        for (Server rep : servers.values()) {
            rep.goneBeats = rep.state == Server.State.GONE ? rep.goneBeats + 1 : 0;
        }
        double keptMs = Math.max(FADE_MS, fallMs);
        servers.values().removeIf(server -> server.goneBeats * BEAT_MS > keptMs && server.out.isEmpty());
        zonePaces.keySet().removeIf(zone -> servers.values().stream()
                .noneMatch(server -> Objects.equals(server.zone, zone)));
    }

    private void follow() {
        if (listAsked && now >= askAtMs) {
            decisions.follow = true;
            askAtMs = now + askWithinMs / 2;
        }
    }

    // ---- Time ----

    /**
     * Danger: a node that itself stood still finds all that came meanwhile at once, some of it behind its own due
     * times, and would take its own gap for slow servers. Such a node looks at nothing but answers for a beat.
     */
    private boolean justBack() {
        return now < backMs + BEAT_MS;
    }

    private void begin(double nowMs) {
        now = nowMs;
        if (now > wakeMs + BEAT_MS) {
            backMs = now;
        }
        wakeMs = Double.MAX_VALUE;
        decisions = new Decisions();
    }

    @Override
    public double waitMs(double nowMs) {
        wakeMs = Math.max(nowMs, Math.min(nextBeatMs, timetable.nextMs()));
        return wakeMs - nowMs;
    }

    @Override
    public Decisions waited(double nowMs) {
        begin(nowMs);
        timetable.run(now);
        if (now >= nextBeatMs) {
            nextBeatMs = now + BEAT_MS;
            if (!justBack()) {
                judge();
            }
            learnWarmParts();
            forgetGone();
            follow();
            release(layout.shards);
        }
        return decisions;
    }
}
