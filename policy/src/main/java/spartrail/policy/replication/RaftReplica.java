package spartrail.policy.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLeader;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyTimings;

/**
 * One of the nodes that agree on the log: the library, its state machine, and what the leading one does. All on the thread of
 * policy.
 *
 * <p>A question is answered by a read of the log that a majority confirms after the question came: those that come while one is
 * under way wait for the next.
 */
final class RaftReplica implements StateMachine, Transport {
    /** Whole seconds, as the library has them: a new leader is there some five seconds after the old one was lost. */
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(3)
            .setLeaderElectionTimeoutMillis(500)
            .setCommitCountToTakeSnapshot(500)
            .setRaftNodeReportPublishPeriodSecs(10)
            .build();

    private static final int MOST_WAITING = 4096;
    private static final Object READ = "read";

    private record Waiting(PolicyRequest ask, Consumer<PolicyResponse> reply) {}

    private final RaftNode raft;
    private final RaftLogStore journal;
    private final PolicyLog log = new PolicyLog();
    private final PolicyLeader leader;
    private final BiConsumer<String, RaftMessage> sending;
    private final Predicate<String> reachable;
    private final Runnable changed;
    private List<Waiting> waiting = new ArrayList<>();
    private boolean reading;
    private PolicyLog.Entry holds = PolicyLog.OWN;
    private PolicyLog.Entry open;

    /** What a deciding node uses of the thread it lives on. */
    interface Place extends RaftNodeExecutor {
        Clock clock();
    }

    RaftReplica(
            String name,
            String fleet,
            RaftLogStore journal,
            PolicyTimings times,
            Place place,
            Random chance,
            BiConsumer<String, RaftMessage> sending,
            Predicate<String> reachable,
            Runnable changed) {
        this.journal = journal;
        this.leader = new PolicyLeader(times);
        this.sending = sending;
        this.reachable = reachable;
        this.changed = changed;
        var builder = RaftNode.newBuilder()
                .setGroupId(fleet)
                .setConfig(CONFIG)
                .setExecutor(place)
                .setTransport(this)
                .setStateMachine(this)
                .setStore(journal)
                .setModelFactory(RaftMessageCodec.MODEL)
                .setRandom(chance)
                .setClock(place.clock());
        var restored = journal.restored();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(new Voter(name)).setInitialGroupMembers(Voter.endpoints(journal.voters()));
        }
        raft = builder.build();
        raft.start();
    }

    // ---- The library's ports ----

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation == READ) {
            return new PolicyResponse(0, log.lastAppliedIndex(), log.active(), log.pending());
        }
        LogOperation op = (LogOperation) operation;
        PolicyLog.Stage next =
                switch (op.kind()) {
                    case PROPOSE -> PolicyLog.Stage.PROPOSED;
                    case REFUSE -> PolicyLog.Stage.REFUSED;
                    case ABORT -> PolicyLog.Stage.ABORTED;
                    case DECIDE -> PolicyLog.Stage.DECIDED;
                    case HOLD -> PolicyLog.Stage.HOLDS;
                    default -> null;
                };
        CrashPoint.reached("before", "becoming", String.valueOf(next));
        String came = log.apply(index, op);
        if (log.active() != holds || log.pending() != open) {
            holds = log.active();
            open = log.pending();
            changed.run();
        }
        CrashPoint.reached("after", "becoming", String.valueOf(next));
        return came;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        chunks.accept(log.toSnapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        log.restoreSnapshot(index, (List<?>) chunks.get(0));
    }

    @Override
    public Object getNewTermOperation() {
        return LogOperation.OF_NEW_TERM;
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        sending.accept(Voter.nameOf(to), message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return reachable.test(Voter.nameOf(endpoint));
    }

    void onMessage(RaftMessage message) {
        raft.handle(message);
    }

    // ---- What is asked of it ----

    /** Who leads, as far as this node knows; empty where it does not. */
    String leaderName() {
        return raft.getStatus() == RaftNodeStatus.TERMINATED
                ? ""
                : Voter.nameOf(raft.getTerm().getLeaderEndpoint());
    }

    boolean isLeader() {
        return leaderName().equals(Voter.nameOf(raft.getLocalEndpoint()));
    }

    /** A node asks what holds; the reply is null where this node cannot say. */
    void onPoll(PolicyRequest ask, double nowMs, Consumer<PolicyResponse> reply) {
        if (!isLeader() || waiting.size() >= MOST_WAITING) {
            reply.accept(null);
            return;
        }
        leader.setLeading(true);
        leader.onRequest(ask, nowMs);
        waiting.add(new Waiting(ask, reply));
        read();
    }

    private void read() {
        if (reading || waiting.isEmpty()) {
            return;
        }
        reading = true;
        List<Waiting> batch = waiting;
        waiting = new ArrayList<>();
        raft.<PolicyResponse>query(READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((answer, failure) -> {
                    reading = false;
                    PolicyResponse told = failure == null ? answer.getResult() : null;
                    batch.forEach(each -> each.reply()
                            .accept(
                                    told == null
                                            ? null
                                            : new PolicyResponse(
                                                    each.ask().nonce(),
                                                    told.appliedIndex(),
                                                    told.active(),
                                                    told.pending())));
                    read();
                });
    }

    /** An order of an operator; what came of it, or null where this node does not lead, or does not know. */
    void replicate(LogOperation op, Consumer<String> came) {
        if (!isLeader()) {
            came.accept(null);
            return;
        }
        raft.<String>replicate(op)
                .whenComplete((Ordered<String> answer, Throwable failure) ->
                        came.accept(failure == null ? answer.getResult() : null));
    }

    /** What the leading one has to do by now. */
    void step(Collection<String> there, double nowMs) {
        leader.setLeading(isLeader());
        LogOperation op = leader.nextOperation(log, there, nowMs);
        if (op != null) {
            raft.<String>replicate(op).whenComplete((answer, failure) -> {});
        }
    }

    PolicyLog log() {
        return log;
    }

    void close() {
        raft.terminate();
    }
}
