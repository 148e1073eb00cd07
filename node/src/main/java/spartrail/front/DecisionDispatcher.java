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
 * Gathers what one iteration of the loop has decided and hands it to the I/O thread as one task. Owned by the coordinator's thread;
 * of its fields the task reads only the shard pool.
 *
 * <p>The task's order: addresses are retired before frames are written, frames before the hold of an endpoint update is released,
 * these before cancellations and responses.
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
    /** Endpoint updates that the I/O thread has read and holds frames for. */
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

    /** The multiget is answered as failed. */
    void fail(ClientMultiget multiget) {
        multiget.finished = true;
        multiget.answer = Multiget.Answer.FAILED;
        pending.answers.add(multiget);
    }

    /** The multiget's client has closed its connection. */
    void addDisconnected(ClientMultiget multiget) {
        disconnected.add(multiget);
    }

    /** Whether the multiget leaves the ones in flight at the end of this iteration. */
    boolean endsNow(ClientMultiget multiget) {
        return pending.answers.contains(multiget) || disconnected.contains(multiget);
    }

    /** An update that the I/O thread holds frames for has been applied. */
    void countEndpointUpdate() {
        endpointUpdatesApplied++;
    }

    /** Takes back the attempts of this iteration that were decided for these servers as they were before an update. */
    void withdrawAttemptsTo(Set<String> serverIds) {
        pending.attempts.removeIf(attempt -> serverIds.contains(attempt.server.id) && loop.enqueueNotSent(attempt));
    }

    void retire(List<InetSocketAddress> addresses) {
        addressesToRetire.addAll(addresses);
    }

    /** Hands everything gathered to the I/O thread. */
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
                && invariants.check(attempt.number < maxAttempts, "most sends of a part");
    }

    private PartRequest startAttempt(Attempt attempt) {
        ClientMultiget multiget = (ClientMultiget) attempt.part.multiget;
        double deadlineMs = Math.min(attempt.sentMs + attempt.timeoutMs, multiget.clientDeadlineMs);
        PartRequest part = new PartRequest(
                attempt,
                multiget.query.id() + '.' + attempt.part.shard.number,
                attempt.part.shard.number,
                multiget.query.text(),
                deadlineMs,
                multiget.request::isClientWaiting);
        TimerQueue.Timer timeout = timers.schedule(
                deadlineMs, () -> io.execute(() -> shardPool.withdraw(part, Attempt.Outcome.TIMED_OUT)));
        multiget.inFlightAttempts.put(attempt, new InFlightAttempt(part, timeout));
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

    /** Ends a multiget, so that no part of it leaves any more; false if it was over already. */
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
        loop.runGuarded(() -> invariants.check(consistent, "a whole answer has all its parts"));
        return ClientResponse.success(multiget.answer == Multiget.Answer.COMPLETE && hasAll, values);
    }
}
