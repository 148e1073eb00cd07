package spartrail.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.ServerStartTimes;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.NodeClock;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.subset.SubsetFilter;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSettings;

/** A front node without sockets: the real coordinator and, if a subset is configured, the real subset filter. */
public final class HollowNode {
    /** Number of shards in the target deployment; a query goes to one server of each. */
    public static final int SHARDS = 250;

    /** Number of zones in the target deployment. */
    public static final int ZONES = 32;

    private static final int MIN_ZONES = 2;
    /** The server that drains and returns by turns, so that each call of {@link #applyOneChange} changes its state. */
    private static final String CHANGED_ID = "s-7";

    private static final int CHANGED_NUMBER = 7;

    private static final NodeClock CLOCK = new NodeClock();
    private final ServerStartTimes startTimes = new ServerStartTimes();

    private final OpType opType = createOpType();
    private final Coordinator coordinator;
    private final SubsetFilter filter;
    private double nowMs = 1000;
    private long multigets;
    private boolean draining;

    /** Creates a node that uses {@code replicasPerShard} replicas of each shard, or all of them if it is 0. */
    public HollowNode(int servers, int replicasPerShard) {
        filter = replicasPerShard == 0 ? null : createFilter(replicasPerShard);
        coordinator = new WindowCoordinator(new Random(1), List.of(opType))
                .configureFrontNodes(3900, 1)
                .configureLayout(SHARDS, SHARDS, 1, 1)
                .configureAttempts(3, true, true)
                .configureSlowStart(0.2, 10_000, 2, 1000)
                .configureRetryAfter(true, 1000);
        applyList(HollowServers.createList(servers, SHARDS, ZONES));
    }

    /** Creates the subset filter of one node in the target deployment. */
    public static SubsetFilter createFilter(int replicasPerShard) {
        return new SubsetFilter(
                new SubsetSelector("node-1", new SubsetSettings(replicasPerShard, MIN_ZONES), SHARDS, SHARDS, 1), 1000);
    }

    private static OpType createOpType() {
        OpType opType = new OpType();
        opType.name = "query";
        opType.priorityWeight = 1;
        opType.latencyObjectiveMs = 54;
        opType.timeoutMs = 500;
        opType.idempotency = OpType.Idempotency.IDEMPOTENT;
        opType.completeWeight = 1;
        opType.minimumWeight = 1;
        opType.partialShare = 0.9;
        opType.latency.meanLatencyMs = 10;
        opType.latency.unloadedLatencyMs = 10;
        opType.latency.latencyDeviationMs = 2;
        return opType;
    }

    /** The object whose memory JOL measures. */
    public Object module() {
        return coordinator;
    }

    /** Applies a complete endpoint list or a change of one. */
    public Decisions applyList(EndpointList list) {
        EndpointList subset = filter == null ? list : filter.toSubset(list, nowMs);
        return coordinator.onEndpointUpdate(
                startTimes.toServers(subset, CLOCK.nowMs(), NodeClock.unixMs()), subset.isComplete(), true, nowMs);
    }

    /** Applies a change by which one server drains or, on the next call, returns. */
    public Decisions applyOneChange() {
        draining = !draining;
        Server.State state = draining ? Server.State.DRAINING : Server.State.LIVE;
        EndpointList change = new EndpointList(
                2, false, List.of(HollowServers.endpoint(CHANGED_ID, CHANGED_NUMBER, SHARDS, ZONES, state, 0)));
        return applyList(change);
    }

    /** Runs the next tick of the coordinator, with no attempt in flight. */
    public Decisions tickWhileIdle() {
        nowMs += coordinator.timeToNextTimerMs(nowMs);
        return coordinator.onTimer(nowMs);
    }

    /** Places a query over this many shards and answers all its parts; returns the number of attempts. */
    public int runQuery(int parts) {
        nowMs += 1;
        Multiget multiget = new Multiget();
        multiget.id = multigets++;
        multiget.opType = opType;
        multiget.clientTimeLeftMs = opType.timeoutMs;
        multiget.arrivedMs = nowMs;
        for (int shard = 0; shard < parts; shard++) {
            Part part = new Part();
            part.id = shard;
            part.multiget = multiget;
            part.shard = coordinator.shard(shard);
            part.weight = 1.0 / parts;
            multiget.parts.add(part);
        }
        Decisions decisions = coordinator.submit(multiget, nowMs);
        int answered = 0;
        List<Attempt> attempts = List.copyOf(decisions.attempts);
        nowMs += opType.latency.meanLatencyMs;
        while (!attempts.isEmpty()) {
            List<Attempt> newAttempts = new ArrayList<>();
            for (Attempt attempt : attempts) {
                newAttempts.addAll(
                        coordinator.onOutcome(attempt, Attempt.Outcome.ANSWERED, nowMs - attempt.sentMs, nowMs)
                                .attempts);
                answered++;
            }
            attempts = newAttempts;
        }
        return answered;
    }
}
