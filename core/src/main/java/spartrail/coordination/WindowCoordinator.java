package spartrail.coordination;

import java.util.List;
import java.util.random.RandomGenerator;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Layout;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Makes all decisions of a front node. Each concern has a class of its own; this class connects them.
 *
 * <p>The main path is {@link #submit} and {@link ReleaseQueue}. Each part is added to its shard's queue, which is
 * sorted by the key of the part's multiget ({@link ReleaseOrder}). The first part is released as soon as a replica is
 * below its concurrency limit, and is sent to the replica that {@link ReplicaSelector} selects.
 *
 * <p>The other concerns are
 *
 * <ol>
 *   <li>{@link AdmissionControl}: rejects multigets that can't be answered in time, those of low priority first;
 *   <li>{@link RetryPolicy}, {@link RetryBudget}, {@link RetryScheduler} and {@link Hedging}: further attempts, as far
 *       as idempotency and the retry budget allow; {@link ServerCrashGuard} holds them back if a multiget seems to
 *       crash servers;
 *   <li>{@link OutlierDetector}: ejects servers whose answers, failures or silence are much worse than those of others;
 *   <li>{@link SlowStart}: limits attempts at servers that warm up to this node's share of their capacity; {@link
 *       ConcurrencyLimiter}: limits the attempts in flight at each server;
 *   <li>{@link Completion}: decides when a multiget is answered, completely or in part, rejected or failed;
 *   <li>{@link EndpointTracker}: follows the endpoint list.
 * </ol>
 *
 * <p>Each event sets the time of the {@link EventContext}, and returns the decisions collected there. Cost: an event of
 * a multiget or an attempt visits only its own parts and their replicas; work over all servers is done once a tick.
 */
public final class WindowCoordinator implements Coordinator {
    private final EventContext context = new EventContext();
    private final ServerTable table = new ServerTable();
    private final LatencyEstimator latencies = new LatencyEstimator(context);
    private final OutlierDetector outliers = new OutlierDetector(context, latencies);
    private final PartQueues queues = new PartQueues(context);
    private final RetryBudget retryBudget = new RetryBudget(context);
    private final ServerCrashGuard crashGuard = new ServerCrashGuard(context, table, queues);
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final AdmissionControl admission;
    private final RetryPolicy retryPolicy;
    private final Hedging hedging;
    private final Completion completion;
    private final ReleaseQueue releaseQueue;
    private final RetryScheduler retryScheduler;
    private final EndpointTracker endpoints;
    private double nextTickMs;

    /** The caller may replace op types in the list while the coordinator is in use. */
    public WindowCoordinator(RandomGenerator random, List<OpType> opTypes) {
        PriorityScale priorities = new PriorityScale(opTypes);
        slowStart = new SlowStart(context, latencies, table, opTypes);
        limiter = new ConcurrencyLimiter(context, slowStart);
        admission = new AdmissionControl(context, latencies, priorities, slowStart);
        retryPolicy = new RetryPolicy(context, priorities, retryBudget);
        ReplicaSelector replicas = new ReplicaSelector(context, table, outliers, slowStart);
        hedging = new Hedging(context, queues, latencies, retryPolicy, replicas);
        completion = new Completion(context, queues, admission);
        releaseQueue = new ReleaseQueue(
                context,
                table,
                queues,
                latencies,
                replicas,
                retryPolicy,
                completion,
                this::recordStart,
                this::onOverdue);
        retryScheduler = new RetryScheduler(queues, retryPolicy, completion, releaseQueue);
        endpoints = new EndpointTracker(context, random, table, limiter, outliers, slowStart, crashGuard);
    }

    @Override
    public Coordinator configureFrontNodes(int count, double loopIntervalMs) {
        slowStart.setFrontNodes(count);
        context.setLoopIntervalMs(loopIntervalMs);
        return this;
    }

    @Override
    public Coordinator configureLayout(int shardCount, int cellCount, int replicationFactor, int maxPartsPerBatch) {
        Layout layout = new Layout(shardCount, cellCount, replicationFactor, ReleaseOrder.COMPARATOR);
        table.configure(layout, maxPartsPerBatch);
        return this;
    }

    @Override
    public Coordinator configureAttempts(int maxPerPart, boolean hedgingAllowed, boolean cancellationAllowed) {
        retryPolicy.configure(maxPerPart, hedgingAllowed);
        completion.allowCancellation(cancellationAllowed);
        return this;
    }

    @Override
    public Coordinator configureRetryBudget(double windowMs, double minRetries, double retryRatio) {
        retryBudget.configure(windowMs, minRetries, retryRatio);
        return this;
    }

    @Override
    public Coordinator configureSlowStart(
            double minCapacityShare, double warmUpMs, double collapseMultiple, double collapseAfterMs) {
        slowStart.configure(minCapacityShare, warmUpMs, collapseMultiple, collapseAfterMs);
        return this;
    }

    @Override
    public Coordinator configureRetryAfter(boolean allowed, double maxRetryAfterMs) {
        admission.configureRetryAfter(allowed, maxRetryAfterMs);
        return this;
    }

    @Override
    public Coordinator configureEndpointPolling(boolean polled, double maxPollIntervalMs) {
        endpoints.configurePolling(polled, maxPollIntervalMs);
        return this;
    }

    @Override
    public Shard shard(int number) {
        return table.shard(number);
    }

    @Override
    public Decisions submit(Multiget multiget, double nowMs) {
        context.beginEvent(nowMs);
        retryBudget.recordRequest(multiget);
        multiget.clientDeadlineMs = nowMs + multiget.clientTimeLeftMs;
        multiget.objectiveDeadlineMs = nowMs + multiget.opType.latencyObjectiveMs;
        ReleaseOrder.assignKey(multiget);
        if (!admission.mayAdmit(multiget)) {
            latencies.recordRejection(multiget.opType);
            completion.giveUp(multiget);
            return context.decisions();
        }
        completion.scheduleDeadlines(multiget);
        multiget.awaitingFirstAnswer = crashGuard.shouldSendFirstPartAlone(multiget);
        if (multiget.awaitingFirstAnswer) {
            context.timers.schedule(
                    nowMs + latencies.expectedLatencyMs(multiget.opType),
                    multiget.timers,
                    () -> retryScheduler.sendRemainingParts(multiget));
        }
        enqueueParts(multiget);
        releaseQueue.releaseShardsOf(multiget);
        return context.decisions();
    }

    private void enqueueParts(Multiget multiget) {
        for (Part part : multiget.parts) {
            multiget.openParts++;
            multiget.openWeight += part.weight;
            if (!multiget.awaitingFirstAnswer || part == multiget.parts.get(0)) {
                queues.enqueue(part);
            }
        }
    }

    private void recordStart(Attempt attempt) {
        slowStart.recordAttempt(attempt.server);
        boolean isRetry = !attempt.part.attempts.isEmpty();
        retryBudget.recordAttempt(isRetry);
        if (!isRetry) {
            hedging.recordFirstAttempt(attempt.part);
        }
    }

    private void onOverdue(Attempt attempt) {
        hedging.onOverdue(attempt, releaseQueue);
    }

    @Override
    public Decisions onOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs, double nowMs) {
        context.beginEvent(nowMs);
        if (!attempt.isInFlight()) {
            return context.decisions();
        }
        attempt.outcome = outcome;
        ReleaseQueue.removeInFlight(attempt);
        recordOutcome(attempt, outcome, tookMs);
        Multiget multiget = attempt.part.multiget;
        if (!multiget.finished && attempt.part.isOpen()) {
            handlePartOutcome(attempt, outcome);
            boolean hasNothingPending = multiget.attemptsInFlight == 0 && multiget.queuedShards.isEmpty();
            if (multiget.awaitingFirstAnswer && !multiget.finished && hasNothingPending) {
                completion.giveUp(multiget);
            }
        }
        releaseQueue.release(attempt.server.shards);
        return context.decisions();
    }

    /** Records the answer of the attempt's part, or retries the part. The attempt has ended; the part is still open. */
    private void handlePartOutcome(Attempt attempt, Attempt.Outcome outcome) {
        Part part = attempt.part;
        if (outcome == Attempt.Outcome.ANSWERED) {
            completion.recordAnswer(part);
            retryScheduler.sendRemainingParts(part.multiget);
        } else if (!part.queued && !part.hasAttemptInFlight()) {
            if (outcome == Attempt.Outcome.RESET) {
                crashGuard.recordConnectionReset(part.multiget, attempt.server);
            }
            if (!ServerCrashGuard.isSuspected(part.multiget)) {
                retryScheduler.retryOrFail(part);
            }
        }
    }

    /**
     * Passes an outcome to each concern. The latency estimates are updated last, because the other concerns compare the
     * outcome with the previous estimates.
     */
    private void recordOutcome(Attempt attempt, Attempt.Outcome outcome, double tookMs) {
        Server server = attempt.server;
        boolean isFromFormerProcess = attempt.sentMs < server.startedAtMs;
        if (isFromFormerProcess) {
            return;
        }
        boolean answered = outcome == Attempt.Outcome.ANSWERED;
        if (answered) {
            outliers.recordSignOfLife(attempt);
            slowStart.recordAnswer(server);
        }
        if (context.hasJustResumed()) {
            return;
        }
        limiter.recordOutcome(attempt, outcome, tookMs);
        // A server that warms up is slow because of its age. If it were ejected for that, it would never get its share.
        double relativeLatency = slowStart.capacityShare(server)
                * tookMs
                / Math.max(1, latencies.meanLatencyMs(attempt.part.multiget.opType));
        outliers.recordOutcome(attempt, outcome, tookMs, relativeLatency);
        if (answered) {
            admission.recordAnswer(attempt, tookMs);
            latencies.recordAnswer(attempt, tookMs);
        }
    }

    @Override
    public Decisions onClientGone(Multiget multiget, double nowMs) {
        context.beginEvent(nowMs);
        if (!multiget.finished) {
            completion.finish(multiget);
        }
        return context.decisions();
    }

    @Override
    public Decisions onEndpointUpdate(List<Server> servers, boolean complete, boolean fresh, double nowMs) {
        context.beginEvent(nowMs);
        endpoints.updateServers(servers, complete, fresh, this::onOverdue);
        releaseQueue.release(table.shards());
        return context.decisions();
    }

    @Override
    public Decisions onDiscoveryUnavailable(double nowMs) {
        context.beginEvent(nowMs);
        endpoints.onDiscoveryUnavailable();
        return context.decisions();
    }

    @Override
    public double timeToNextTimerMs(double nowMs) {
        return context.timeToNextTimerMs(nowMs, nextTickMs);
    }

    @Override
    public Decisions onTimer(double nowMs) {
        context.beginEvent(nowMs);
        context.timers.runDue(nowMs);
        if (nowMs >= nextTickMs) {
            nextTickMs = nowMs + EventContext.TICK_INTERVAL_MS;
            onTick();
        }
        return context.decisions();
    }

    /** Does the periodic work over all servers. */
    private void onTick() {
        if (!context.hasJustResumed()) {
            List<Server> live = table.findMatching(server -> server.state == Server.State.LIVE);
            outliers.beginTick(live);
            for (Server server : live) {
                outliers.updateEjection(server);
                slowStart.updateAnswerRate(server);
            }
        }
        slowStart.updateServiceRates();
        endpoints.forgetRemovedServers();
        endpoints.pollIfDue();
        releaseQueue.release(table.shards());
    }

    /** Returns the ids of the servers that are remembered, in the order of their first listing; for tests. */
    List<String> knownServerIds() {
        return table.servers().stream().map(server -> server.id).toList();
    }

    /** Returns the number of pending timers; for tests. */
    int pendingTimerCount() {
        return context.timers.size();
    }
}
