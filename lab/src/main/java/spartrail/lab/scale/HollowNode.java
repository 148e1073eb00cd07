package spartrail.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.endpoint.EndpointList;
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

/** A front node's decisions without its sockets: the real coordinator, and the real subset filter if one is configured. */
public final class HollowNode {
    /** Shards of the target; a query goes to one server of each. */
    public static final int SHARDS = 250;

    /** Zones of the target. */
    public static final int ZONES = 32;

    private static final int LEAST_ZONES = 2;
    /** The server that drains and returns alternately, so that each call is a change. */
    private static final String CHANGED = "s-7";

    private static final int CHANGED_NUMBER = 7;

    private static final NodeClock CLOCK = new NodeClock();

    private final OpType opType = opType();
    private final Coordinator coordinator;
    private final SubsetFilter filter;
    private double nowMs = 1000;
    private long multigets;
    private boolean draining;

    /** A node that uses this many replicas of each shard; 0 for all of them. */
    public HollowNode(int servers, int replicasPerShard) {
        filter = replicasPerShard == 0 ? null : filter(replicasPerShard);
        coordinator = new WindowCoordinator(new Random(1), List.of(opType))
                .configureFrontNodes(3900, 1)
                .configureLayout(SHARDS, SHARDS, 1, 1)
                .configureAttempts(3, true, true)
                .configureSlowStart(0.2, 10_000, 2, 1000)
                .configureRetryAfter(true, 1000);
        applyList(HollowServers.list(servers, SHARDS, ZONES));
    }

    /** The subset of one node at the target's layout. */
    public static SubsetFilter filter(int replicasPerShard) {
        return new SubsetFilter(
                new SubsetSelector("node-1", new SubsetSettings(replicasPerShard, LEAST_ZONES), SHARDS, SHARDS, 1),
                1000);
    }

    private static OpType opType() {
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

    /** Applies an endpoint list or a change of one. */
    public Decisions applyList(EndpointList list) {
        EndpointList own = filter == null ? list : filter.toSubset(list, nowMs);
        return coordinator.onEndpointUpdate(own.toServers(CLOCK), own.isComplete(), true, nowMs);
    }

    /** One server drains, or returns. */
    public Decisions applyOneChange() {
        draining = !draining;
        Server.State state = draining ? Server.State.DRAINING : Server.State.LIVE;
        EndpointList change = new EndpointList(
                2, false, List.of(HollowServers.endpoint(CHANGED, CHANGED_NUMBER, SHARDS, ZONES, state, 0)));
        return applyList(change);
    }

    /** The next tick of the coordinator, with nothing in flight. */
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
        Decisions placed = coordinator.submit(multiget, nowMs);
        int answered = 0;
        List<Attempt> attempts = List.copyOf(placed.attempts);
        nowMs += opType.latency.meanLatencyMs;
        while (!attempts.isEmpty()) {
            List<Attempt> further = new ArrayList<>();
            for (Attempt attempt : attempts) {
                further.addAll(coordinator.onOutcome(attempt, Attempt.Outcome.ANSWERED, nowMs - attempt.sentMs, nowMs)
                        .attempts);
                answered++;
            }
            attempts = further;
        }
        return answered;
    }
}
