package spartrail.front;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.XnioIoThread;
import spartrail.client.ClientResponse;
import spartrail.discovery.DiscoveryClient;
import spartrail.front.ClientMultiget.InFlightAttempt;
import spartrail.model.Attempt;
import spartrail.model.AttemptBatch;
import spartrail.model.Decisions;
import spartrail.model.Invariants;
import spartrail.model.Multiget;
import spartrail.model.TimerQueue;
import spartrail.shard.PartRequest;
import spartrail.shard.ShardPool;

/**
 * Collects the decisions of one iteration of the loop and hands them to the I/O thread as one task. Owned by the
 * coordinator's thread; the shard pool is the only field that the task reads.
 *
 * <p>The task's order: first it retires addresses, then it sends batches, then it releases the hold of an endpoint
 * update, and last it sends cancellations and responses.
 */
final class DecisionDispatcher {
    private final CoordinatorLoop loop;
    private final XnioIoThread io;
    private final ShardPool shardPool;
    private final DiscoveryClient discovery;
    private final InFlightMultigets inFlight;
    private final EndpointTable endpoints;
    private final TimerQueue timers;
    private final NodeCounters counters;
    private final Invariants invariants;

    private final Decisions pending = new Decisions();
    private final List<ClientMultiget> disconnected = new ArrayList<>();
    private final List<InetSocketAddress> addressesToRetire = new ArrayList<>();
    /** Endpoint updates applied in this iteration, for which the I/O thread still holds frames. */
    private int endpointUpdatesApplied;

    DecisionDispatcher(
            CoordinatorLoop loop,
            XnioIoThread io,
            ShardPool shardPool,
            DiscoveryClient discovery,
            InFlightMultigets inFlight,
            EndpointTable endpoints,
            TimerQueue timers,
            NodeCounters counters,
            Invariants invariants) {
        this.loop = loop;
        this.io = io;
        this.shardPool = shardPool;
        this.discovery = discovery;
        this.inFlight = inFlight;
        this.endpoints = endpoints;
        this.timers = timers;
        this.counters = counters;
        this.invariants = invariants;
    }

    void collect(Decisions decisions) {
        pending.attempts.addAll(decisions.attempts);
        pending.answers.addAll(decisions.answers);
        pending.cancellations.addAll(decisions.cancellations);
        pending.watchEndpoints |= decisions.watchEndpoints;
    }

    /** Answers the multiget as failed. */
    void fail(ClientMultiget multiget) {
        multiget.finished = true;
        multiget.answer = Multiget.Answer.FAILED;
        pending.answers.add(multiget);
    }

    /** Ends a multiget whose client has closed its connection. */
    void addDisconnected(ClientMultiget multiget) {
        disconnected.add(multiget);
    }

    /** Whether the multiget ends with this iteration. */
    boolean endsNow(ClientMultiget multiget) {
        return pending.answers.contains(multiget) || disconnected.contains(multiget);
    }

    /** Counts an applied endpoint update, for which the I/O thread holds frames. */
    void countEndpointUpdate() {
        endpointUpdatesApplied++;
    }

    /**
     * Withdraws attempts of this iteration to these servers, as they were decided before an endpoint update changed
     * them.
     */
    void withdrawAttemptsTo(Set<String> serverIds) {
        pending.attempts.removeIf(attempt -> serverIds.contains(attempt.server.id) && loop.enqueueNotSent(attempt));
    }

    void retire(List<InetSocketAddress> addresses) {
        addressesToRetire.addAll(addresses);
    }

    /** Hands the collected decisions to the I/O thread. */
    void dispatch(int maxAttempts) {
        List<Runnable> tasks = new ArrayList<>();
        addressesToRetire.forEach(address -> tasks.add(() -> shardPool.retire(address)));
        addressesToRetire.clear();
        addBatches(maxAttempts, tasks);
        addRelease(tasks);
        addCancellations(tasks);
        disconnected.forEach(multiget -> release(multiget, tasks));
        disconnected.clear();
        addResponses(tasks);
        if (pending.watchEndpoints) {
            pending.watchEndpoints = false;
            tasks.add(discovery::start);
        }
        if (!tasks.isEmpty()) {
            io.execute(() -> tasks.forEach(loop::runGuarded));
        }
    }

    private void addBatches(int maxAttempts, List<Runnable> tasks) {
        Map<AttemptBatch, List<PartRequest>> partsByBatch = new IdentityHashMap<>();
        List<AttemptBatch> batches = new ArrayList<>();
        for (Attempt attempt : pending.attempts) {
            if (!mayBeSent(attempt, maxAttempts)) {
                loop.enqueueNotSent(attempt);
                continue;
            }
            PartRequest part = startAttempt(attempt);
            partsByBatch
                    .computeIfAbsent(attempt.batch, batch -> {
                        batches.add(batch);
                        return new ArrayList<>();
                    })
                    .add(part);
        }
        pending.attempts.clear();
        for (AttemptBatch batch : batches) {
            List<PartRequest> parts = partsByBatch.get(batch);
            InetSocketAddress address = endpoints.addressOf(parts.get(0).attempt().server.id);
            tasks.add(() -> shardPool.send(address, parts));
        }
    }

    private boolean mayBeSent(Attempt attempt, int maxAttempts) {
        return !attempt.part.multiget.finished
                && !attempt.cancelRequested
                && endpoints.contains(attempt.server.id)
                && invariants.check(attempt.number < maxAttempts, "a part has no more attempts than the limit");
    }

    private PartRequest startAttempt(Attempt attempt) {
        ClientMultiget multiget = (ClientMultiget) attempt.part.multiget;
        double deadlineMs = Math.min(attempt.sentMs + attempt.timeoutMs, multiget.clientDeadlineMs);
        PartRequest part = new PartRequest(
                attempt,
                multiget.partId(attempt.part.shard.number),
                attempt.part.shard.number,
                multiget.query.text(),
                deadlineMs,
                multiget.request::isClientWaiting);
        TimerQueue.Timer timeout = timers.schedule(
                deadlineMs, () -> io.execute(() -> shardPool.withdraw(part, Attempt.Outcome.TIMED_OUT)));
        multiget.inFlightAttempts.put(attempt, new InFlightAttempt(part, timeout));
        inFlight.addAnswerableAttempt(multiget.query.id());
        return part;
    }

    private void addRelease(List<Runnable> tasks) {
        if (endpointUpdatesApplied > 0) {
            int updates = endpointUpdatesApplied;
            endpointUpdatesApplied = 0;
            tasks.add(() -> shardPool.releaseFrames(updates));
        }
    }

    private void addCancellations(List<Runnable> tasks) {
        for (Attempt attempt : pending.cancellations) {
            InFlightAttempt inFlightAttempt = ((ClientMultiget) attempt.part.multiget).inFlightAttempts.get(attempt);
            if (inFlightAttempt != null) {
                tasks.add(() -> shardPool.withdraw(inFlightAttempt.part(), Attempt.Outcome.CANCELLED));
            }
        }
        pending.cancellations.clear();
    }

    private void addResponses(List<Runnable> tasks) {
        for (Multiget answered : pending.answers) {
            ClientMultiget multiget = (ClientMultiget) answered;
            if (release(multiget, tasks)) {
                ClientResponse response = buildResponse(multiget);
                tasks.add(() -> multiget.request.respond(response));
            }
        }
        pending.answers.clear();
    }

    /** Removes a multiget and withdraws its parts that are not sent yet; false if it had ended before. */
    private boolean release(ClientMultiget multiget, List<Runnable> tasks) {
        if (!inFlight.remove(multiget)) {
            return false;
        }
        timers.cancel(multiget.expiry);
        multiget.inFlightAttempts
                .values()
                .forEach(attempt -> tasks.add(() -> shardPool.withdrawUnsent(attempt.part())));
        return true;
    }

    private ClientResponse buildResponse(ClientMultiget multiget) {
        counters.answers.merge(multiget.answer, 1L, Long::sum);
        return switch (multiget.answer) {
            case COMPLETE, PARTIAL -> buildValues(multiget);
            case REJECTED -> ClientResponse.rejected(multiget.retryAfterMs);
            default -> ClientResponse.failure();
        };
    }

    private ClientResponse buildValues(ClientMultiget multiget) {
        List<ClientResponse.Value> values = new ArrayList<>();
        multiget.parts.stream()
                .filter(part -> part.answered && multiget.values.containsKey(part))
                .forEach(part -> values.add(new ClientResponse.Value(part.shard.number, multiget.values.get(part))));
        boolean hasAll = values.size() == multiget.parts.size() || multiget.opType.completeWeight < 1;
        boolean consistent = hasAll || multiget.answer == Multiget.Answer.PARTIAL;
        loop.runGuarded(() -> invariants.check(consistent, "a complete response has all its parts"));
        return ClientResponse.success(multiget.answer == Multiget.Answer.COMPLETE && hasAll, values);
    }
}
