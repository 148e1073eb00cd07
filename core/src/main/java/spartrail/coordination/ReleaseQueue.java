package spartrail.coordination;

import java.util.Collection;
import java.util.TreeSet;
import java.util.function.Consumer;
import spartrail.model.Attempt;
import spartrail.model.AttemptBatch;
import spartrail.model.Multiget;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Releases queued parts in release order while a replica has free capacity, and starts their attempts.
 *
 * <p>Cost: visits the heads of the given shards' queues and the replicas of the released parts.
 */
final class ReleaseQueue {
    /** The timeout of an attempt that may not be hedged is this many times the time after which it is overdue. */
    private static final double SINGLE_ATTEMPT_TIMEOUT_FACTOR = 2;

    private final EventContext context;
    private final ServerTable table;
    private final PartQueues queues;
    private final LatencyEstimator latencies;
    private final ReplicaSelector replicas;
    private final RetryPolicy retryPolicy;
    private final Completion completion;
    private final Consumer<Attempt> onStarted;
    private final Consumer<Attempt> onOverdue;
    private long pickNumber;

    /**
     * Calls {@code onStarted} with each attempt that starts, and {@code onOverdue} with each attempt that may be
     * overdue.
     */
    ReleaseQueue(
            EventContext context,
            ServerTable table,
            PartQueues queues,
            LatencyEstimator latencies,
            ReplicaSelector replicas,
            RetryPolicy retryPolicy,
            Completion completion,
            Consumer<Attempt> onStarted,
            Consumer<Attempt> onOverdue) {
        this.context = context;
        this.table = table;
        this.queues = queues;
        this.latencies = latencies;
        this.replicas = replicas;
        this.retryPolicy = retryPolicy;
        this.completion = completion;
        this.onStarted = onStarted;
        this.onOverdue = onOverdue;
    }

    /** Releases parts from the queues of a multiget's shards while a replica has free capacity for them. */
    void releaseShardsOf(Multiget multiget) {
        release(multiget.parts.stream().map(part -> part.shard).toList());
    }

    /**
     * Releases parts from the queues of these shards, in release order across all of them, while a replica has free
     * capacity.
     */
    void release(Collection<Shard> shards) {
        TreeSet<Part> heads = new TreeSet<>(ReleaseOrder.COMPARATOR);
        shards.forEach(shard -> addHeads(shard, heads));
        while (!heads.isEmpty()) {
            Part next = heads.pollFirst();
            // The part may have been given up while other parts were released; it must not be sent then.
            Server server = next.queued ? replicas.select(next) : null;
            if (server != null) {
                release(next, server, heads);
            }
        }
    }

    private void release(Part part, Server server, TreeSet<Part> heads) {
        queues.dequeue(part);
        // A retry that was allowed when the part was queued may no longer be allowed.
        if (!part.attempts.isEmpty() && !retryPolicy.mayRetry(part)) {
            if (!part.hasAttemptInFlight()) {
                completion.failPart(part);
            }
            addHeads(part.shard, heads);
            return;
        }
        double queuedMs = context.nowMs() - part.queuedSinceMs;
        part.shard.queueDelayMs += (queuedMs - part.shard.queueDelayMs) * LatencyEstimator.SMOOTHING;
        boolean opensBatch = !replicas.hasOpenBatch(server);
        startAttempt(part, server);
        addHeads(part.shard, heads);
        if (opensBatch && table.maxPartsPerBatch() > 1) {
            server.shards.forEach(shard -> addHeads(shard, heads));
        }
    }

    /**
     * Adds the parts of a queue that may be released next: the retries at its head and the first part that is no retry.
     * If only the head were tried, a retry that may not go to the only replica with free capacity would block all parts
     * behind it.
     */
    private static void addHeads(Shard shard, TreeSet<Part> heads) {
        for (Part part : shard.queue) {
            heads.add(part);
            if (part.attempts.isEmpty()) {
                break;
            }
        }
    }

    private void startAttempt(Part part, Server server) {
        Multiget multiget = part.multiget;
        double nowMs = context.nowMs();
        Attempt attempt = new Attempt(part, server, part.attempts.size(), nowMs, timeoutMs(part));
        joinBatch(attempt);
        multiget.attemptsInFlight++;
        attempt.serverWasIdle = server.batchesInFlight == 1;
        server.inFlight.add(attempt);
        server.lastPickNumber = ++pickNumber;
        onStarted.accept(attempt);
        part.attempts.add(attempt);
        // Without this limit, a first attempt whose connection is established late could run long after a second
        // attempt.
        attempt.sendDeadlineMs = part.deduplicationEndMs() - context.loopIntervalMs();
        context.decisions().attempts.add(attempt);
        context.timers.schedule(
                nowMs + latencies.meanLatencyMs(multiget.opType) + multiget.opType.latency.latencyDeviationMs,
                multiget.timers,
                () -> onOverdue.accept(attempt));
    }

    private double timeoutMs(Part part) {
        Multiget multiget = part.multiget;
        double deadlineMs = multiget.opType.lateShare > 0 ? multiget.clientDeadlineMs : multiget.objectiveDeadlineMs;
        double leftMs = deadlineMs - context.nowMs();
        if (retryPolicy.mayHedge(part)) {
            return leftMs;
        }
        return Math.min(leftMs, latencies.overdueAfterMs(part) * SINGLE_ATTEMPT_TIMEOUT_FACTOR);
    }

    private void joinBatch(Attempt attempt) {
        Server server = attempt.server;
        if (!replicas.hasOpenBatch(server)) {
            server.latestBatch = new AttemptBatch(context.nowMs());
            server.batchesInFlight++;
        }
        attempt.batch = server.latestBatch;
        attempt.batch.size++;
        attempt.batch.inFlight++;
    }

    /** Removes an attempt that has ended from the attempts in flight. */
    static void removeInFlight(Attempt attempt) {
        attempt.server.inFlight.remove(attempt);
        attempt.part.multiget.attemptsInFlight--;
        attempt.batch.inFlight--;
        if (attempt.batch.inFlight == 0) {
            attempt.server.batchesInFlight--;
        }
    }
}
