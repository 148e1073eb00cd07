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
 * {@link #place} for each multiget, {@link #onOutcome} for each outcome, {@link #timeToNextTimerMs} for the time until {@link #onTimer};
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
    private static final int RANK_COUNT = 32_768;
    private static final int INITIAL_LIMIT = 4;
    private static final double TICK_INTERVAL_MS = 100;
    /** Width of a deadline window. */
    private static final double DEADLINE_WINDOW_MS = 250;
    /** An answer within this many times what a server with nothing else of ours takes lets a limit grow. */
    private static final double LIMIT_GROWTH_LATENCY_RATIO = 2;
    /** A send that takes this share of its latency budget counts as timed out for its server's limit. */
    private static final double LIMIT_TIMEOUT_SHARE = 0.15;
    /** Weight of a new sample in what is learned. */
    private static final double SMOOTHING = 0.1;
    /** A sum of weights may fall short by rounding. */
    private static final double WEIGHT_TOLERANCE = 1e-4;

    private static final Comparator<Part> RELEASE_ORDER = Comparator.<Part>comparingLong(
                    part -> part.multiget.deadlineWindow)
            .thenComparingInt(part -> part.multiget.rank)
            .thenComparingLong(part -> part.multiget.id)
            .thenComparingLong(part -> part.id);

    private final RandomGenerator random;
    private final List<OpType> opTypes;
    final Map<String, Server> servers = new LinkedHashMap<>();
    final TimerQueue timers = new TimerQueue();
    private Decisions decisions = new Decisions();
    private double now;
    private double nextTickMs;
    private long pickNumber;
    private double expectedWakeMs = Double.MAX_VALUE;
    /** When this node last came back later than the next turn was asked for. */
    private double resumedMs = Double.NEGATIVE_INFINITY;

    private int frontNodes = 1;
    private double loopIntervalMs = 1;
    private Layout layout;
    private int maxPartsPerBatch = 1;

    public WindowCoordinator(RandomGenerator random, List<OpType> opTypes) {
        this.random = random;
        this.opTypes = opTypes;
    }

    @Override
    public Coordinator frontNodes(int count, double shortestIntervalMs) {
        frontNodes = Math.max(1, count);
        loopIntervalMs = shortestIntervalMs;
        return this;
    }

    @Override
    public Coordinator layout(int shardCount, int cellCount, int replicationFactor, int maxParts) {
        layout = new Layout(shardCount, cellCount, replicationFactor, RELEASE_ORDER);
        maxPartsPerBatch = Math.max(1, maxParts);
        return this;
    }

    @Override
    public Shard shard(int number) {
        return layout.shards.get(number);
    }

    // ---- The ordinary path ----

    @Override
    public Decisions place(Multiget multiget, double nowMs) {
        beginEvent(nowMs);
        requests.discardBefore(now - retryWindowMs);
        requests.add(now, multiget.parts.size() + 1);
        multiget.clientDeadlineMs = now + multiget.clientTimeLeftMs;
        multiget.objectiveDeadlineMs = now + multiget.opType.latencyObjectiveMs;
        multiget.deadlineWindow = (long) Math.floor(multiget.objectiveDeadlineMs / DEADLINE_WINDOW_MS);
        multiget.rank = rank(multiget.id);
        if (!isAdmitted(multiget)) {
            multiget.opType.latency.rejectedSinceMs = Math.min(multiget.opType.latency.rejectedSinceMs, now);
            giveUp(multiget);
            return decisions;
        }
        timers.schedule(
                multiget.objectiveDeadlineMs - 3 * loopIntervalMs, multiget.timers, () -> onLatencyObjective(multiget));
        timers.schedule(
                multiget.clientDeadlineMs - 2 * loopIntervalMs, multiget.timers, () -> onClientDeadline(multiget));
        multiget.awaitingFirstAnswer = multiget.parts.size() > 1 && mayCrashServers(multiget);
        if (multiget.awaitingFirstAnswer) {
            double expectedMs = meanLatencyMs(multiget.opType) + multiget.opType.latency.latencyDeviationMs;
            timers.schedule(now + expectedMs, multiget.timers, () -> sendRemainingParts(multiget));
        }
        for (Part part : multiget.parts) {
            multiget.openParts++;
            multiget.openWeight += part.weight;
            if (!multiget.awaitingFirstAnswer || part == multiget.parts.get(0)) {
                enqueue(part);
            }
        }
        release(shardsOf(multiget));
        return decisions;
    }

    /** Puts a part in its place in its shard's queue. */
    private void enqueue(Part part) {
        part.queued = true;
        part.queuedSinceMs = now;
        part.shard.queue.add(part);
        part.multiget.queuedAt.add(part.shard);
    }

    private static List<Shard> shardsOf(Multiget multiget) {
        return multiget.parts.stream().map(part -> part.shard).toList();
    }

    /** Lets parts go from these shards' queues, the first key first, while a replica has room for them. */
    private void release(Collection<Shard> shards) {
        TreeSet<Part> heads = new TreeSet<>(RELEASE_ORDER);
        shards.forEach(shard -> addHeads(shard, heads));
        while (!heads.isEmpty()) {
            Part next = heads.pollFirst();
            // Danger: what was given up on the way must not leave any more.
            Server server = next.queued ? pickReplica(next) : null;
            if (server == null) {
                continue;
            }
            // Danger: a repeat that was harmless when it joined the queue need not be so when it leaves.
            if (!next.attempts.isEmpty() && !mayRetry(next)) {
                dequeue(next);
                if (!next.hasAttemptInFlight()) {
                    abandonAndCheck(next);
                }
                addHeads(next.shard, heads);
                continue;
            }
            dequeue(next);
            next.shard.queueDelayMs += (now - next.queuedSinceMs - next.shard.queueDelayMs) * SMOOTHING;
            boolean opensBatch = !hasOpenBatch(server);
            startAttempt(next, server);
            addHeads(next.shard, heads);
            if (opensBatch && maxPartsPerBatch > 1) {
                server.shards.forEach(shard -> addHeads(shard, heads));
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
            if (part.attempts.isEmpty()) {
                break;
            }
        }
    }

    /** The eligible replica with the fewest of our calls out once it has this part too; null if none has room. */
    private Server pickReplica(Part part) {
        List<Server> replicas = part.shard.replicas;
        List<Server> healthyReplicas = matching(replicas, server -> isHealthy(server) && !part.wasAttemptedAt(server));
        Server best = leastLoaded(part, healthyReplicas);
        if (best == null) {
            // Danger: sound replicas drown while an ill one that still answers is spared all work.
            best = leastLoaded(
                    part, matching(replicas, server -> hasAnsweredRecently(server) && !part.wasAttemptedAt(server)));
        }
        return best == null && healthyReplicas.isEmpty() ? leastLoaded(part, replicas) : best;
    }

    private static List<Server> matching(Collection<Server> servers, Predicate<Server> condition) {
        return servers.stream().filter(condition).toList();
    }

    private Server leastLoaded(Part part, List<Server> replicas) {
        Server best = null;
        int bestBatchCount = 0;
        int bestBatchShare = 0;
        for (Server server : replicas) {
            if (server.state != Server.State.LIVE
                    || freeCapacity(server) <= 0
                    || part.isInFlightAt(server)
                    || !slowStartAllows(part, server)) {
                continue;
            }
            int batchCount = server.batchesInFlight + (hasOpenBatch(server) ? 0 : 1);
            int batchShare = partsForSameBatch(part, server);
            if (best == null
                    || batchCount < bestBatchCount
                    || batchCount == bestBatchCount
                            && (batchShare > bestBatchShare
                                    || batchShare == bestBatchShare && server.lastPickNumber < best.lastPickNumber)) {
                best = server;
                bestBatchCount = batchCount;
                bestBatchShare = batchShare;
            }
        }
        return best;
    }

    /**
     * Parts that may be sent to a server now. Danger: under load each answer frees one place, every part travels alone,
     * and the cost of calls eats the capacity. Where calls carry several parts, a busy server opens one at half its
     * limit.
     */
    private int freeCapacity(Server server) {
        boolean halfLimit = maxPartsPerBatch > 1 && !server.inFlight.isEmpty() && !hasOpenBatch(server);
        return (halfLimit ? (server.concurrencyLimit + 1) / 2 : server.concurrencyLimit) - server.inFlight.size();
    }

    private boolean hasOpenBatch(Server server) {
        return server.latestBatch != null
                && server.latestBatch.sentMs == now
                && server.latestBatch.size < maxPartsPerBatch;
    }

    /** How many held parts of the same multiget could travel in the same call. */
    private int partsForSameBatch(Part part, Server server) {
        if (maxPartsPerBatch == 1) {
            return 0;
        }
        int count = hasOpenBatch(server) ? 1 : 0;
        for (Shard shard : server.shards) {
            if (part.multiget.queuedAt.contains(shard)) {
                count++;
            }
        }
        return Math.min(count, Math.min(server.concurrencyLimit - server.inFlight.size(), maxPartsPerBatch));
    }

    private void startAttempt(Part part, Server server) {
        Multiget multiget = part.multiget;
        double leftMs =
                (multiget.opType.lateShare > 0 ? multiget.clientDeadlineMs : multiget.objectiveDeadlineMs) - now;
        double timeoutMs =
                mayHedge(part) ? leftMs : Math.min(leftMs, overdueAfterMs(part) * SINGLE_ATTEMPT_TIMEOUT_FACTOR);
        Attempt attempt = new Attempt(part, server, part.attempts.size(), now, timeoutMs);
        if (!hasOpenBatch(server)) {
            server.latestBatch = new AttemptBatch(now);
            server.batchesInFlight++;
        }
        attempt.batch = server.latestBatch;
        attempt.batch.size++;
        attempt.batch.inFlight++;
        part.multiget.attemptsInFlight++;
        attempt.serverWasIdle = server.batchesInFlight == 1;
        server.inFlight.add(attempt);
        server.lastPickNumber = ++pickNumber;
        if (isWarmingUp(server)) {
            server.warmUpAttempts.add(now, 1);
        }
        if (!part.attempts.isEmpty()) {
            retries.add(now, 1);
        } else if (part.queuedSinceMs == now) {
            hedgeTokens = Math.min(MAX_HEDGE_TOKENS, hedgeTokens + HEDGE_TOKENS_PER_ATTEMPT);
        }
        part.attempts.add(attempt);
        // Danger: a first attempt whose connection comes up late would leave long after a second one has run.
        attempt.sendDeadlineMs = part.deduplicationEndMs() - loopIntervalMs;
        decisions.attempts.add(attempt);
        timers.schedule(
                now + meanLatencyMs(multiget.opType) + multiget.opType.latency.latencyDeviationMs,
                multiget.timers,
                () -> onOverdue(attempt));
    }

    @Override
    public Decisions onOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double nowMs) {
        beginEvent(nowMs);
        if (!attempt.isInFlight()) {
            return decisions;
        }
        attempt.outcome = outcome;
        attempt.server.inFlight.remove(attempt);
        attempt.part.multiget.attemptsInFlight--;
        if (--attempt.batch.inFlight == 0) {
            attempt.server.batchesInFlight--;
        }
        recordOutcome(attempt, outcome, tookMs);
        Part part = attempt.part;
        if (!part.multiget.finished && part.isOpen()) {
            if (outcome == Attempt.Outcome.ANSWERED) {
                closePart(part);
                part.answered = true;
                part.multiget.answeredWeight += part.weight;
                part.multiget.connectionsResetBy.clear();
                dequeue(part);
                cancelAttempts(part);
                answerIfPossible(part.multiget);
                sendRemainingParts(part.multiget);
            } else if (!part.queued && !part.hasAttemptInFlight()) {
                if (outcome == Attempt.Outcome.RESET) {
                    recordConnectionReset(part.multiget, attempt.server);
                }
                if (!isSuspectedOfCrashes(part.multiget)) {
                    retryOrLose(part);
                }
            }
            Multiget multiget = part.multiget;
            if (multiget.awaitingFirstAnswer
                    && !multiget.finished
                    && multiget.attemptsInFlight == 0
                    && multiget.queuedAt.isEmpty()) {
                giveUp(multiget);
            }
        }
        release(attempt.server.shards);
        return decisions;
    }

    /**
     * The limit of a server: one more for an answer within the usual time when it binds, half for a time-out or full.
     */
    private void adjustLimit(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        Server server = attempt.server;
        OpType op = attempt.part.multiget.opType;
        // Danger: limits that grow while queues build up at the servers, where nothing puts them in key order. Danger:
        // a part that is lost says nothing of a queue; where later ones were answered, it does not count.
        boolean timedOut = outcome == Attempt.Outcome.TIMED_OUT
                || tookMs > op.latencyObjectiveMs * LIMIT_TIMEOUT_SHARE
                        && (outcome == Attempt.Outcome.ANSWERED || server.lastAnsweredSentMs <= attempt.sentMs);
        if ((outcome == Attempt.Outcome.FULL || timedOut) && attempt.sentMs >= server.limitHalvedMs) {
            server.concurrencyLimit = Math.max(1, server.concurrencyLimit / 2);
            server.limitHalvedMs = now;
        } else if (outcome == Attempt.Outcome.ANSWERED
                && tookMs <= LIMIT_GROWTH_LATENCY_RATIO * op.latency.unloadedLatencyMs
                && server.inFlight.size() + 1 >= server.concurrencyLimit) {
            server.concurrencyLimit++;
        }
    }

    private void dequeue(Part part) {
        if (part.queued) {
            part.queued = false;
            part.shard.queue.remove(part);
            part.multiget.queuedAt.remove(part.shard);
        }
    }

    /** No more answer of this part is waited for. */
    private static void closePart(Part part) {
        if (part.isOpen()) {
            part.multiget.openParts--;
            part.multiget.openWeight -= part.weight;
        }
    }

    private void abandon(Part part) {
        dequeue(part);
        closePart(part);
        part.abandoned |= !part.answered;
    }

    private static int rank(long id) {
        long mixed = (id + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (int) ((mixed ^ mixed >>> 31) & (RANK_COUNT - 1));
    }

    // ---- 1. Admission and pushback ----

    private static final double EVIDENCE_LIFETIME_MS = 3000;
    /** The least important op types may use this share of their budget, the most important all. */
    private static final double MIN_OBJECTIVE_SHARE = 0.4;

    /** How long parts wait at servers beyond the light time, its mean deviation, and when that was seen. */
    private double serverQueueingMs;

    private double serverQueueingDeviationMs;
    private double lastEvidenceMs;

    private boolean retryAfterAllowed;
    private double maxRetryAfterMs;

    @Override
    public Coordinator retryAfter(boolean allowed, double maxMs) {
        retryAfterAllowed = allowed;
        maxRetryAfterMs = maxMs;
        return this;
    }

    /** Under overload work is turned away before it costs anything, or all of it would be served too late. */
    private boolean isAdmitted(Multiget multiget) {
        OpType op = multiget.opType;
        // Danger: a try that cannot be answered in the time it has takes capacity and earns nothing, or little once its
        // budget is over. That a client gives little time does not tell that it has tried before, unless it says so.
        boolean objectiveMissed =
                multiget.clientRetry && multiget.clientTimeLeftMs <= op.timeoutMs - op.latencyObjectiveMs;
        if (objectiveMissed
                || multiget.clientTimeLeftMs
                        < evidenceWeight(op) * (meanLatencyMs(op) + op.latency.latencyDeviationMs)) {
            return false;
        }
        double queueDelayMs = 0;
        for (Part part : multiget.parts) {
            queueDelayMs = Math.max(queueDelayMs, queueDelayMs(part.shard));
        }
        double objectiveShare = MIN_OBJECTIVE_SHARE + (1 - MIN_OBJECTIVE_SHARE) * relativePriority(op);
        if (queueDelayMs > 0) {
            return queueDelayMs + evidenceWeight(op) * (meanLatencyMs(op) + 2 * op.latency.latencyDeviationMs)
                    <= objectiveShare * Math.min(op.latencyObjectiveMs, multiget.clientTimeLeftMs);
        }
        // Danger: of many nodes none holds anything, and the queues that all of them make at the servers turn nobody
        // away. What answers of any op type take beyond the light time tells of those queues. Danger: where nothing is
        // admitted nothing is learned; what was seen fades with its age.
        double evidenceWeight = 1 - Math.min(1, (now - lastEvidenceMs) / EVIDENCE_LIFETIME_MS);
        return evidenceWeight(op) * op.latency.unloadedLatencyMs
                        + (serverQueueingMs + serverQueueingDeviationMs) * evidenceWeight
                <= Math.min(objectiveShare * op.latencyObjectiveMs, multiget.clientTimeLeftMs);
    }

    // Danger: an op type turned away teaches nothing of itself; what was seen of it fades meanwhile.
    private double evidenceWeight(OpType op) {
        return 1 - Math.min(1, Math.max(0, now - op.latency.rejectedSinceMs) / EJECTION_DECAY_MS);
    }

    private double queueDelayMs(Shard shard) {
        return shard.queue.isEmpty() ? 0 : Math.max(shard.queueDelayMs, now - shard.queue.first().queuedSinceMs);
    }

    /** When a client that is turned away is to come back: once what is held now has left. */
    private double retryAfterMs(Multiget multiget) {
        double queueDelayMs = multiget.parts.stream()
                .mapToDouble(part -> part.shard.queueDelayMs)
                .max()
                .orElse(0);
        return retryAfterAllowed
                ? Math.min(maxRetryAfterMs, Math.max(meanLatencyMs(multiget.opType), queueDelayMs))
                : 0;
    }

    // ---- 2. Further sends ----

    /** A send is overdue after the usual time and so many of its mean deviations. */
    private static final double OVERDUE_DEVIATIONS = 4;
    /** Where no second copy may race, a send is given this many times longer before it is timed out. */
    private static final double SINGLE_ATTEMPT_TIMEOUT_FACTOR = 2;

    private static final double MAX_HEDGE_TOKENS = 20;
    private static final double STRAGGLER_SHARE = 0.1;
    /**
     * First sends that left at once fund further ones, up to a most. Danger: copies feed a collapse. Where parts are
     * held there is no room to spare, and copies dry up; for sends at ill servers, few by their limits, they do not.
     */
    private static final double HEDGE_TOKENS_PER_ATTEMPT = 0.4;

    private int maxAttempts = 1;
    private boolean hedging;
    private boolean cancellation;
    private double retryWindowMs;
    private double retriesAllowedFromMs;
    private double minRetries;
    private double retryRatio;
    private double hedgeTokens = MAX_HEDGE_TOKENS / 2;
    private final SlidingWindowCounter retries = new SlidingWindowCounter();
    private final SlidingWindowCounter requests = new SlidingWindowCounter();

    @Override
    public Coordinator attempts(int maxPerPart, boolean hedgingAllowed, boolean cancellationAllowed) {
        maxAttempts = maxPerPart;
        hedging = hedgingAllowed;
        cancellation = cancellationAllowed;
        return this;
    }

    @Override
    public Coordinator retryBudget(double windowMs, double minimum, double ratio) {
        // Danger: what was sent before the old span is forgotten; a longer one waits for its own.
        retriesAllowedFromMs =
                pickNumber > 0 && windowMs > retryWindowMs ? now + windowMs - retryWindowMs : retriesAllowedFromMs;
        retryWindowMs = windowMs;
        minRetries = minimum;
        retryRatio = ratio;
        return this;
    }

    /** The stated budget. Danger of a rule broken by one send more than it: both ends are cut short. */
    private boolean withinRetryBudget() {
        int retriesMade = retries.countSince(now - retryWindowMs - loopIntervalMs) + 1;
        int requestsSeen = requests.countSince(now - retryWindowMs + 2 * loopIntervalMs);
        return retryWindowMs <= 0
                || now >= retriesAllowedFromMs && retriesMade <= minRetries + retryRatio * requestsSeen;
    }

    /** Sends that a part may have by the importance of its op type against the others'. */
    private int maxAttempts(OpType op) {
        return Math.min(maxAttempts, 2 + (int) Math.ceil((maxAttempts - 2) * relativePriority(op)));
    }

    /** Its importance over that of the most important op type. */
    private double relativePriority(OpType op) {
        double highest = opTypes.stream()
                .mapToDouble(other -> other.priorityWeight)
                .max()
                .orElse(0);
        return highest > 0 ? op.priorityWeight / highest : 1;
    }

    private boolean mayHedge(Part part) {
        return hedging && part.multiget.opType.idempotency != OpType.Idempotency.NON_IDEMPOTENT;
    }

    /** Whether the rules of effects and budget let this part have another send. */
    private boolean mayRetry(Part part) {
        OpType op = part.multiget.opType;
        if (part.hasAttemptInFlight() && !mayHedge(part)
                || part.attempts.size() >= maxAttempts(op)
                || !withinRetryBudget()) {
            return false;
        }
        return switch (op.idempotency) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> part.attempts.stream().allMatch(Attempt::hasNotRun);
            case IDEMPOTENCY_KEY -> now < part.deduplicationEndMs() - loopIntervalMs;
        };
    }

    private double meanLatencyMs(OpType op) {
        return op.latency.meanLatencyMs > 0 ? op.latency.meanLatencyMs : op.latencyObjectiveMs / 8;
    }

    private double overdueAfterMs(Part part) {
        OpType op = part.multiget.opType;
        return meanLatencyMs(op)
                + OVERDUE_DEVIATIONS
                        * (op.latency.meanLatencyMs > 0 ? op.latency.latencyDeviationMs : op.latencyObjectiveMs / 16);
    }

    /** A part with no send out goes back to its place in the queue, or is lost to its multiget. */
    private void retryOrLose(Part part) {
        if (mayRetry(part)) {
            enqueue(part);
        } else {
            abandonAndCheck(part);
        }
    }

    private static final int MIN_WIDE_PARTS = 32;
    private static final double CRASH_WINDOW_MS = 20_000;
    /** Connections broken at so many servers, nothing answered, tell of a killer; so does that of a first part alone. */
    private static final int SUSPICIOUS_RESETS = 2;
    /** One that could reach this share of the servers, by so many parts, is wide. */
    private static final double WIDE_SERVER_SHARE = 0.25;
    /** So many servers that died unannounced, in so long, tell of killers. */
    private static final int SUSPICIOUS_CRASHES = 3;

    private final SlidingWindowCounter crashes = new SlidingWindowCounter();

    /**
     * Danger: a multiget whose parts bring servers down does so with its first sends, and a wide one takes the fleet
     * along at once. A wide one, and any while servers die unannounced, sends one part first: the others follow with
     * its answer, or after the usual time where nothing broke.
     */
    private boolean mayCrashServers(Multiget multiget) {
        return crashes.countSince(now - CRASH_WINDOW_MS) >= SUSPICIOUS_CRASHES
                || multiget.parts.size()
                        >= Math.max(MIN_WIDE_PARTS, WIDE_SERVER_SHARE * servers.size() * maxPartsPerBatch);
    }

    /** Nothing further of it is sent: what is out must tell, and with nothing out any more it is given up. */
    private static boolean isSuspectedOfCrashes(Multiget multiget) {
        return multiget.awaitingFirstAnswer && !multiget.connectionsResetBy.isEmpty();
    }

    private void recordConnectionReset(Multiget multiget, Server server) {
        multiget.connectionsResetBy.add(server);
        if (multiget.answeredWeight == 0 && multiget.connectionsResetBy.size() >= SUSPICIOUS_RESETS) {
            multiget.awaitingFirstAnswer = true;
            multiget.parts.forEach(this::dequeue);
        }
    }

    /** All that waited for a first answer goes on. */
    private void sendRemainingParts(Multiget multiget) {
        if (multiget.finished || !multiget.awaitingFirstAnswer || !multiget.connectionsResetBy.isEmpty()) {
            return;
        }
        multiget.awaitingFirstAnswer = false;
        for (Part part : multiget.parts) {
            if (!multiget.finished && part.isOpen() && !part.queued && !part.hasAttemptInFlight()) {
                if (part.attempts.isEmpty()) {
                    enqueue(part);
                } else {
                    retryOrLose(part);
                }
            }
        }
        release(shardsOf(multiget));
    }

    private void abandonAndCheck(Part part) {
        abandon(part);
        answerIfPossible(part.multiget);
    }

    /**
     * Silence or slowness of one send: its part joins its queue again, for a copy at another replica. Danger: a server
     * that loses parts and answers the rest quickly; what later answers have overtaken is taken for lost early.
     */
    private void onOverdue(Attempt attempt) {
        Part part = attempt.part;
        boolean latest = part.attempts.get(part.attempts.size() - 1) == attempt;
        if (!attempt.isInFlight()
                || part.multiget.finished
                || !part.isOpen()
                || part.queued
                || !latest
                || !mayRetry(part)) {
            return;
        }
        // Danger: the last few parts decide when all the others are answered; there are few of them to copy.
        boolean straggler = part.multiget.openParts <= STRAGGLER_SHARE * part.multiget.parts.size();
        double presumedLostMs = attempt.sentMs + (straggler ? 0 : overdueAfterMs(part));
        boolean presumedLost = attempt.server.lastAnsweredSentMs > attempt.sentMs || now >= presumedLostMs;
        // Under overload a copy only takes room that nothing else wants; one that waits on an ill server is due its
        // turn.
        boolean hedgeAffordable = !hasJustResumed() && hedgeTokens >= 1 && pickReplica(part) != null;
        if (!isSuspectedOfCrashes(part.multiget) && presumedLost && (attempt.server.ejected || hedgeAffordable)) {
            hedgeTokens -= attempt.server.ejected ? 0 : 1;
            enqueue(part);
            release(List.of(part.shard));
        } else {
            double nextCheckMs =
                    presumedLost ? now + TICK_INTERVAL_MS : Math.min(now + TICK_INTERVAL_MS, presumedLostMs);
            timers.schedule(nextCheckMs, part.multiget.timers, () -> onOverdue(attempt));
        }
    }

    private void cancelAttempts(Part part) {
        for (Attempt attempt : part.attempts) {
            if (cancellation && attempt.isInFlight() && !attempt.cancelRequested) {
                attempt.cancelRequested = true;
                decisions.cancellations.add(attempt);
            }
        }
    }

    // ---- 3. Health of servers ----

    private static final double RELATIVE_LATENCY_SMOOTHING = 0.3;
    private static final double RECENT_ANSWER_MS = 1000;
    /** A server this many times slower than the middle one is ill. */
    private static final double EJECTION_RATIO = 3;
    /** What a failure counts as, in times the usual: fast errors must not attract work. */
    private static final double FAILURE_RELATIVE_LATENCY = 5;
    /**
     * A verdict fades over this time, so that a server that is well again is found by the first sends of a low limit.
     */
    private static final double EJECTION_DECAY_MS = 4000;
    /** Longer where all of a zone would be tried again at once. */
    private static final double ZONE_EJECTION_DECAY_MS = 12_000;

    /** The pace of each zone's servers together. */
    private final Map<String, Double> zoneRelativeLatencies = new LinkedHashMap<>();

    private boolean isHealthy(Server server) {
        return server.state == Server.State.LIVE && !server.ejected;
    }

    /** Ill or not, it has answered lately. */
    private boolean hasAnsweredRecently(Server server) {
        return now - server.lastAnswerMs < RECENT_ANSWER_MS;
    }

    private void recordOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        Server server = attempt.server;
        OpType op = attempt.part.multiget.opType;
        if (attempt.sentMs < server.startedAtMs) {
            return; // Of a process that is no more.
        }
        if (outcome == Attempt.Outcome.ANSWERED) {
            server.lastAnswerMs = now;
            server.lastAnsweredSentMs = Math.max(server.lastAnsweredSentMs, attempt.sentMs);
            server.answersThisTick++;
        }
        if (hasJustResumed()) {
            return;
        }
        adjustLimit(attempt, outcome, tookMs);
        // Danger: a cold server is as slow as its age says; judged ill for it, it would never get its share.
        double relativeLatency = capacityShare(server) * tookMs / Math.max(1, meanLatencyMs(op));
        switch (outcome) {
            case ANSWERED -> {
                recordRelativeLatency(server, relativeLatency);
                lastEvidenceMs = now;
                // Danger: what an ill server takes, or a cold one by its age, looks like queues everywhere.
                double queueingMs =
                        server.ejected ? 0 : capacityShare(server) * Math.max(0, tookMs - op.latency.unloadedLatencyMs);
                serverQueueingDeviationMs +=
                        (Math.abs(queueingMs - serverQueueingMs) - serverQueueingDeviationMs) * SMOOTHING;
                serverQueueingMs += (queueingMs - serverQueueingMs) * SMOOTHING;
                double smoothing = Math.max(SMOOTHING, 1 - evidenceWeight(op));
                OpType.LatencyStatistics latency = op.latency;
                latency.rejectedSinceMs = Double.MAX_VALUE;
                double meanSmoothing = latency.meanLatencyMs == 0 ? 1 : smoothing;
                latency.latencyDeviationMs = latency.meanLatencyMs == 0
                        ? tookMs / 2
                        : latency.latencyDeviationMs
                                + (Math.abs(tookMs - latency.meanLatencyMs) - latency.latencyDeviationMs) * smoothing;
                latency.meanLatencyMs += (tookMs - latency.meanLatencyMs) * meanSmoothing;
                // Danger: under overload no server is idle; the figure falls quickly and rises slowly. Danger: a slow
                // first answer would stand for it until servers are idle again.
                double unloadedSmoothing = latency.unloadedLatencyMs == 0
                        ? 1
                        : tookMs < latency.unloadedLatencyMs ? smoothing : SMOOTHING / 40;
                latency.unloadedLatencyMs +=
                        attempt.serverWasIdle ? (tookMs - latency.unloadedLatencyMs) * unloadedSmoothing : 0;
                latency.unloadedLatencyMs = Math.min(latency.unloadedLatencyMs, latency.meanLatencyMs);
            }
                // Danger: a server that loses half of its parts and answers the rest quickly looks well by its answers.
            case CANCELLED -> recordRelativeLatency(
                    server,
                    tookMs > overdueAfterMs(attempt.part)
                            ? Math.max(relativeLatency, FAILURE_RELATIVE_LATENCY)
                            : Math.max(relativeLatency, server.relativeLatency));
            case ERROR, RESET, TIMED_OUT -> recordRelativeLatency(
                    server, Math.max(relativeLatency, FAILURE_RELATIVE_LATENCY));
                // Danger: one spoilt answer takes along all on its connection, and would count as many.
            case MALFORMED -> recordRelativeLatency(
                    server,
                    Math.max(
                            relativeLatency,
                            server.lastMalformedMs == now ? server.relativeLatency : FAILURE_RELATIVE_LATENCY));
                // Danger: each send to a machine that is down costs its part the time that connecting may take.
            case CONNECT_FAILED -> server.relativeLatency = 2 * FAILURE_RELATIVE_LATENCY;
            default -> {}
        }
        server.lastMalformedMs = outcome == Attempt.Outcome.MALFORMED ? now : server.lastMalformedMs;
    }

    private void recordRelativeLatency(Server server, double relativeLatency) {
        double sample = Math.min(relativeLatency, 2 * FAILURE_RELATIVE_LATENCY);
        server.relativeLatency += (sample - server.relativeLatency) * RELATIVE_LATENCY_SMOOTHING;
        zoneRelativeLatencies.merge(
                server.zone, sample, (before, observed) -> before + (observed - before) * SMOOTHING);
    }

    /** The pace, or what silence says: how long the oldest send waits where nothing was answered since. */
    private double currentRelativeLatency(Server server) {
        if (server.inFlight.isEmpty()) {
            return server.relativeLatency;
        }
        Attempt oldest = server.inFlight.iterator().next();
        double silentMs = now - Math.max(oldest.sentMs, server.lastAnswerMs);
        OpType op = oldest.part.multiget.opType;
        return Math.max(server.relativeLatency, silentMs / (meanLatencyMs(op) + op.latency.latencyDeviationMs));
    }

    /** Judged against the middle server: a slowdown of all is no outage of some. */
    private void updateEjections() {
        List<Server> live = matching(servers.values(), server -> server.state == Server.State.LIVE);
        double[] relativeLatencies =
                live.stream().mapToDouble(this::currentRelativeLatency).sorted().toArray();
        double median =
                relativeLatencies.length == 0 ? 1 : Math.max(1, relativeLatencies[relativeLatencies.length / 2]);
        // Danger: a bad way to half of the servers makes its slowness the middle. Zones are judged against the best of
        // them; there are samples enough of a zone where each server is met seldom.
        double bestZone = zoneRelativeLatencies.values().stream()
                .mapToDouble(relativeLatency -> relativeLatency)
                .min()
                .orElse(1);
        zoneRelativeLatencies.replaceAll((zone, relativeLatency) ->
                relativeLatency + (1 - relativeLatency) * TICK_INTERVAL_MS / ZONE_EJECTION_DECAY_MS);
        for (Server server : live) {
            boolean ejected = currentRelativeLatency(server) > EJECTION_RATIO * median
                    || zoneRelativeLatencies.getOrDefault(server.zone, 1.0) > EJECTION_RATIO * bestZone;
            if (ejected && !server.ejected) {
                server.concurrencyLimit = 1;
            }
            server.ejected = ejected;
            server.relativeLatency += (1 - server.relativeLatency) * TICK_INTERVAL_MS / EJECTION_DECAY_MS;
            server.answerRate += (server.answersThisTick / TICK_INTERVAL_MS - server.answerRate)
                    * TICK_INTERVAL_MS
                    / EJECTION_DECAY_MS;
            server.answersThisTick = 0;
        }
    }

    // ---- 4. Cold servers ----

    /** Share of the allowance that is used, as what a part takes is known roughly. */
    private static final double WARM_UP_SAFETY = 0.8;

    private double minCapacityShare = 1;
    private double warmUpMs;
    private double collapseMultiple = 1;
    private double collapseAfterMs;
    private double partsPerCoreMs;
    private double meanPartsPerMs;
    private double busiestPartsPerMs;

    @Override
    public Coordinator slowStart(double minShare, double warmUpDurationMs, double multiple, double collapseMs) {
        minCapacityShare = minShare;
        warmUpMs = warmUpDurationMs;
        collapseMultiple = multiple;
        collapseAfterMs = collapseMs;
        return this;
    }

    /** The least share of its capacity that a server has at its age. */
    private double capacityShare(Server server) {
        return isWarmingUp(server)
                ? minCapacityShare + (1 - minCapacityShare) * Math.max(0, now - server.startedAtMs) / warmUpMs
                : 1;
    }

    private boolean isWarmingUp(Server server) {
        return server.startedAtMs >= 0 && now - server.startedAtMs < warmUpMs;
    }

    /** Danger: all nodes push over the same idle fresh server. Each keeps to what a warm one takes of it, by age. */
    private boolean slowStartAllows(Part part, Server server) {
        if (!isWarmingUp(server)) {
            return true;
        }
        int sent = server.warmUpAttempts.countSince(now - collapseAfterMs);
        double capacity = collapseMultiple * capacityShare(server) * collapseAfterMs;
        if (sent + 1 <= WARM_UP_SAFETY * capacity * busiestPartsPerMs) {
            return true;
        }
        // Danger: of many nodes each has a share of less than one part, and a fleet that starts anew stands idle. There
        // so few multigets of a node meet one server that those of the lower ranks may pass whole, the same ones at
        // every server: as many as keep what all nodes ask of it, with three deviations of chance, within what it
        // takes. Danger: among idle replicas a cold one is the next in turn for all that may pass it; only with other
        // cold ones it shares that.
        double root = (Math.sqrt(9 + 4 * capacity * partsPerCoreMs) - 3) / 2;
        int warmingReplicas = matching(part.shard.replicas, replica -> isHealthy(replica) && isWarmingUp(replica))
                .size();
        int replicas = Math.max(layout.replicationFactor, part.shard.replicas.size());
        double demand = frontNodes * meanPartsPerMs * collapseAfterMs * replicas / Math.max(1, warmingReplicas);
        return part.multiget.rank < RANK_COUNT * root * root / demand && server.warmUpAttempts.oldestMs() >= now;
    }

    /**
     * Parts in a millisecond: what a core takes, what warm servers take from this node on average, at least its share
     * of a core's, and what the busiest does. Danger: of many servers that are seen seldom the busiest is so by chance.
     */
    private void updateServiceRates() {
        partsPerCoreMs = 1
                / opTypes.stream()
                        .mapToDouble(op ->
                                op.latency.unloadedLatencyMs > 0 ? op.latency.unloadedLatencyMs : meanLatencyMs(op))
                        .max()
                        .orElse(1);
        List<Server> warm = matching(servers.values(), server -> isHealthy(server) && !isWarmingUp(server));
        DoubleSummaryStatistics rates =
                warm.stream().mapToDouble(server -> server.answerRate).summaryStatistics();
        meanPartsPerMs = Math.max(partsPerCoreMs / frontNodes, rates.getAverage());
        busiestPartsPerMs = Math.max(meanPartsPerMs, Math.min(rates.getMax(), 2 * rates.getAverage()));
    }

    // ---- 5. When to answer, partly answer or give up ----

    /** The least weight that an answer may be given from. */
    private static double minimumWeight(Multiget multiget) {
        return Math.min(multiget.opType.minimumWeight, multiget.opType.completeWeight);
    }

    private boolean hasWeight(Multiget multiget, double weight) {
        return multiget.answeredWeight >= weight - WEIGHT_TOLERANCE / 2;
    }

    private void answerIfPossible(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        boolean open = multiget.openParts > 0;
        if (hasWeight(multiget, multiget.opType.completeWeight)) {
            answer(multiget, Multiget.Answer.COMPLETE);
        } else if (hasWeight(multiget, minimumWeight(multiget))
                && (!open || now >= multiget.objectiveDeadlineMs - 3 * loopIntervalMs)) {
            answer(multiget, Multiget.Answer.PARTIAL);
        } else if (multiget.answeredWeight + multiget.openWeight < minimumWeight(multiget) - WEIGHT_TOLERANCE / 2) {
            // What can still come is not enough: given up at once.
            giveUp(multiget);
        }
    }

    private void answer(Multiget multiget, Multiget.Answer answer) {
        multiget.answer = answer;
        decisions.answers.add(multiget);
        finish(multiget);
    }

    /** Nothing of it is sent any more, and what is out is called back where that may be. */
    private void finish(Multiget multiget) {
        multiget.finished = true;
        for (Part part : multiget.parts) {
            abandon(part);
            cancelAttempts(part);
        }
        timers.cancelAll(multiget.timers);
    }

    /** The final answer of a multiget that is given up: pushed back only where a new try is harmless. */
    private void giveUp(Multiget multiget) {
        OpType op = multiget.opType;
        double retryAfterMs = retryAfterMs(multiget);
        // A deduped one that may have run is pushed back where its client, told when, comes within the time.
        boolean keyMayOutlive = op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY && retryAfterAllowed;
        Predicate<Attempt> isHarmless = attempt -> attempt.hasNotRun()
                || keyMayOutlive && now + 2 * retryAfterMs < attempt.sentMs + op.deduplicationWindowMs;
        boolean retryIsHarmless = op.idempotency == OpType.Idempotency.IDEMPOTENT
                || multiget.parts.stream()
                        .flatMap(part -> part.attempts.stream())
                        .allMatch(isHarmless);
        multiget.answer = retryIsHarmless ? Multiget.Answer.REJECTED : Multiget.Answer.FAILED;
        multiget.retryAfterMs = retryIsHarmless ? retryAfterMs : 0;
        decisions.answers.add(multiget);
        finish(multiget);
    }

    /** The latency budget ends: an answer that may be given is given, and what would earn nothing later is given up. */
    private void onLatencyObjective(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        if (now == resumedMs) {
            timers.schedule(now + loopIntervalMs, multiget.timers, () -> onLatencyObjective(multiget));
            return;
        }
        OpType op = multiget.opType;
        if (hasWeight(multiget, minimumWeight(multiget))
                && op.partialShare * multiget.answeredWeight / op.completeWeight > op.lateShare) {
            answer(multiget, Multiget.Answer.PARTIAL);
        } else if (op.lateShare == 0 || op.lateShare < unsentWeight(multiget)) {
            // Danger: late work, which goes first by its key, makes all behind it late too; what is left of it may take
            // the share of the work that it still earns of the importance.
            giveUp(multiget);
        }
    }

    private static double unsentWeight(Multiget multiget) {
        return multiget.parts.stream()
                .mapToDouble(part -> part.isOpen() && !part.hasAttemptInFlight() ? part.weight : 0)
                .sum();
    }

    /** The client's time ends: danger of a multiget lost. */
    private void onClientDeadline(Multiget multiget) {
        if (multiget.finished) {
            return;
        }
        if (hasWeight(multiget, minimumWeight(multiget))) {
            answer(multiget, Multiget.Answer.PARTIAL);
        } else {
            giveUp(multiget);
        }
    }

    @Override
    public Decisions onClientGone(Multiget multiget, double nowMs) {
        beginEvent(nowMs);
        if (!multiget.finished) {
            finish(multiget);
        }
        return decisions;
    }

    // ---- 6. Following the list ----

    private static final double FIRST_POLL_SPREAD_MS = 200;
    private static final double FIRST_BACKOFF_MS = 300;
    private static final double MAX_BACKOFF_MS = 2400;

    private boolean polled;
    private double maxPollIntervalMs = Double.MAX_VALUE;
    private double backoffMs = FIRST_BACKOFF_MS;
    private double nextPollMs = Double.MAX_VALUE;

    @Override
    public Coordinator endpointPolling(boolean enabled, double maxIntervalMs) {
        polled = enabled;
        maxPollIntervalMs = maxIntervalMs > 0 ? maxIntervalMs : Double.MAX_VALUE;
        return this;
    }

    @Override
    public Decisions onEndpointUpdate(List<Server> update, boolean complete, boolean fresh, double nowMs) {
        beginEvent(nowMs);
        if (complete) {
            servers.values().forEach(server -> server.state = Server.State.GONE);
        }
        for (Server listed : update) {
            Server server = servers.computeIfAbsent(listed.id, Server::new);
            if (server.state == Server.State.LIVE
                    && server.concurrencyLimit > 0
                    && (listed.state == Server.State.GONE || listed.startedAtMs > server.startedAtMs)) {
                crashes.discardBefore(now - CRASH_WINDOW_MS);
                crashes.add(now, 1);
            }
            server.zone = listed.zone;
            server.kind = listed.kind;
            server.cell = listed.cell;
            server.state = listed.state;
            server.weight = listed.weight;
            if (listed.startedAtMs > server.startedAtMs || server.concurrencyLimit == 0) {
                // A new process: nothing that was seen of the old one holds.
                server.startedAtMs = listed.startedAtMs;
                server.concurrencyLimit = isWarmingUp(server) ? INITIAL_LIMIT / 2 : INITIAL_LIMIT;
                server.relativeLatency = 1;
                server.ejected = false;
                server.warmUpAttempts.clear();
            }
        }
        layout.assignReplicas(servers.values());
        updateServiceRates();
        if (fresh) {
            backoffMs = FIRST_BACKOFF_MS;
            nextPollMs = Double.MAX_VALUE;
        } else if (polled) {
            nextPollMs = now + random.nextDouble() * FIRST_POLL_SPREAD_MS;
        }
        for (Server server : servers.values()) {
            if (server.state == Server.State.GONE) {
                new ArrayList<>(server.inFlight).forEach(this::onOverdue);
            }
        }
        release(layout.shards);
        return decisions;
    }

    /**
     * Asked again, less and less often and not in step with other nodes, so that a weak list service is not flooded.
     */
    @Override
    public Decisions onDiscoveryUnavailable(double nowMs) {
        beginEvent(nowMs);
        nextPollMs = now + backoffMs * (0.5 + random.nextDouble());
        backoffMs = Math.min(Math.min(MAX_BACKOFF_MS, maxPollIntervalMs / 2), 2 * backoffMs);
        return decisions;
    }

    /** Danger: memory fills up. One that is back soon is still known, with the sends that count while it is cold. */
    private void forgetRemovedServers() {
        for (Server server : servers.values()) {
            server.ticksSinceRemoval = server.state == Server.State.GONE ? server.ticksSinceRemoval + 1 : 0;
        }
        double retentionMs = Math.max(EJECTION_DECAY_MS, collapseAfterMs);
        servers.values()
                .removeIf(server ->
                        server.ticksSinceRemoval * TICK_INTERVAL_MS > retentionMs && server.inFlight.isEmpty());
        zoneRelativeLatencies.keySet().removeIf(zone -> servers.values().stream()
                .noneMatch(server -> Objects.equals(server.zone, zone)));
    }

    private void pollEndpoints() {
        if (polled && now >= nextPollMs) {
            decisions.watchEndpoints = true;
            nextPollMs = now + maxPollIntervalMs / 2;
        }
    }

    // ---- Time ----

    /**
     * Danger: a node that itself stood still finds all that came meanwhile at once, some of it behind its own due
     * times, and would take its own gap for slow servers. Such a node looks at nothing but answers for a beat.
     */
    private boolean hasJustResumed() {
        return now < resumedMs + TICK_INTERVAL_MS;
    }

    private void beginEvent(double nowMs) {
        now = nowMs;
        if (now > expectedWakeMs + TICK_INTERVAL_MS) {
            resumedMs = now;
        }
        expectedWakeMs = Double.MAX_VALUE;
        decisions = new Decisions();
    }

    @Override
    public double timeToNextTimerMs(double nowMs) {
        expectedWakeMs = Math.max(nowMs, Math.min(nextTickMs, timers.nextDueMs()));
        return expectedWakeMs - nowMs;
    }

    @Override
    public Decisions onTimer(double nowMs) {
        beginEvent(nowMs);
        timers.runDue(now);
        if (now >= nextTickMs) {
            nextTickMs = now + TICK_INTERVAL_MS;
            if (!hasJustResumed()) {
                updateEjections();
            }
            updateServiceRates();
            forgetRemovedServers();
            pollEndpoints();
            release(layout.shards);
        }
        return decisions;
    }
}
