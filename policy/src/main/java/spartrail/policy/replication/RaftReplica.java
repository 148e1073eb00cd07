package spartrail.policy.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNode.RaftNodeBuilder;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLeader;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyLogSnapshot;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyTimings;
import spartrail.policy.PolicyVersion;

/**
 * One of the nodes that vote on the log: the Raft library, its state machine, and what the leader does. All on the thread of
 * policy.
 *
 * <p>A poll is answered by a read of the log that a majority confirms after the poll came: those that come while a read is under
 * way wait for the next one.
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

    private static final int MAX_WAITING_POLLS = 4096;

    /** The operation of a read, which changes nothing. */
    private static final Object READ = "read";

    private record WaitingPoll(PolicyRequest request, Consumer<PolicyResponse> onResponse) {}

    /** What a replica uses of the thread that it lives on. */
    interface ExecutionContext extends RaftNodeExecutor {
        /** A clock that never steps. */
        Clock clock();
    }

    /** What a replica needs of its node. */
    interface Environment {
        /** Sends a message to another voter. */
        void send(String voter, RaftMessage message);

        /** Whether an address of this voter is known. */
        boolean isReachable(String voter);

        /** The active or the pending version is another one. */
        void onLogChange();
    }

    private final RaftNode raft;
    private final Environment environment;
    private final PolicyLog log = new PolicyLog();
    private final PolicyLeader leader;
    private List<WaitingPoll> waitingPolls = new ArrayList<>();
    private boolean isReading;
    private PolicyVersion lastActive = PolicyVersion.INITIAL;
    private PolicyVersion lastPending;

    /** Goes on where the store ends, and starts. */
    RaftReplica(
            String name,
            String fleet,
            RaftLogStore store,
            PolicyTimings times,
            ExecutionContext context,
            Random random,
            Environment environment) {
        this.leader = new PolicyLeader(times);
        this.environment = environment;
        RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(fleet)
                .setConfig(CONFIG)
                .setExecutor(context)
                .setTransport(this)
                .setStateMachine(this)
                .setStore(store)
                .setModelFactory(LogEntryCodec.MODEL)
                .setRandom(random)
                .setClock(context.clock());
        RestoredRaftState restored = store.restored();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(new Voter(name)).setInitialGroupMembers(Voter.endpoints(store.voters()));
        }
        raft = builder.build();
        raft.start();
    }

    // ---- Ports of the Raft library ----

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation == READ) {
            return new PolicyResponse(0, log.lastAppliedIndex(), log.active(), log.pending());
        }
        LogOperation logOperation = (LogOperation) operation;
        String nextStage = String.valueOf(stageAfter(logOperation.kind()));
        CrashPoint.before(CrashPoint.Activity.CHANGING_STATE, nextStage);
        String outcome = log.apply(index, logOperation);
        if (log.active() != lastActive || log.pending() != lastPending) {
            lastActive = log.active();
            lastPending = log.pending();
            environment.onLogChange();
        }
        CrashPoint.after(CrashPoint.Activity.CHANGING_STATE, nextStage);
        return outcome;
    }

    private static PolicyVersion.Stage stageAfter(LogOperation.Kind kind) {
        return switch (kind) {
            case PROPOSE -> PolicyVersion.Stage.PROPOSED;
            case REFUSE -> PolicyVersion.Stage.REFUSED;
            case ABORT -> PolicyVersion.Stage.ABORTED;
            case DECIDE -> PolicyVersion.Stage.DECIDED;
            case HOLD -> PolicyVersion.Stage.HOLDS;
            case NEW_TERM -> null;
        };
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        chunks.accept(log.toSnapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        log.restoreSnapshot(index, (PolicyLogSnapshot) chunks.get(0));
    }

    @Override
    public Object getNewTermOperation() {
        return LogOperation.NEW_TERM_OPERATION;
    }

    @Override
    public void send(RaftEndpoint receiver, RaftMessage message) {
        environment.send(Voter.nameOf(receiver), message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return environment.isReachable(Voter.nameOf(endpoint));
    }

    // ---- What the node asks of it ----

    /** Takes up a message of another voter. */
    void onMessage(RaftMessage message) {
        raft.handle(message);
    }

    /** The name of the leader, as far as this node knows; empty where it does not. */
    String leaderName() {
        if (raft.getStatus() == RaftNodeStatus.TERMINATED) {
            return "";
        }
        return Voter.nameOf(raft.getTerm().getLeaderEndpoint());
    }

    boolean isLeader() {
        return leaderName().equals(Voter.nameOf(raft.getLocalEndpoint()));
    }

    /** Answers a poll; the response is null where this node cannot say what is active. */
    void onPoll(PolicyRequest request, double nowMs, Consumer<PolicyResponse> onResponse) {
        if (!isLeader() || waitingPolls.size() >= MAX_WAITING_POLLS) {
            onResponse.accept(null);
            return;
        }
        leader.setLeading(true);
        leader.onRequest(request, nowMs);
        waitingPolls.add(new WaitingPoll(request, onResponse));
        readLog();
    }

    private void readLog() {
        if (isReading || waitingPolls.isEmpty()) {
            return;
        }
        isReading = true;
        List<WaitingPoll> batch = waitingPolls;
        waitingPolls = new ArrayList<>();
        raft.<PolicyResponse>query(READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((answer, failure) -> {
                    isReading = false;
                    PolicyResponse read = failure == null ? answer.getResult() : null;
                    batch.forEach(poll -> respond(poll, read));
                    readLog();
                });
    }

    private static void respond(WaitingPoll poll, PolicyResponse read) {
        if (read == null) {
            poll.onResponse().accept(null);
            return;
        }
        long nonce = poll.request().nonce();
        poll.onResponse().accept(new PolicyResponse(nonce, read.appliedIndex(), read.active(), read.pending()));
    }

    /** Appends an operator's operation; the outcome is null where this node does not lead, or does not know. */
    void replicate(LogOperation operation, Consumer<String> onOutcome) {
        if (!isLeader()) {
            onOutcome.accept(null);
            return;
        }
        raft.<String>replicate(operation)
                .whenComplete((Ordered<String> answer, Throwable failure) ->
                        onOutcome.accept(failure == null ? answer.getResult() : null));
    }

    /** Does what is due if this node leads. */
    void step(Collection<String> liveNodes, double nowMs) {
        leader.setLeading(isLeader());
        LogOperation operation = leader.nextOperation(log, liveNodes, nowMs);
        if (operation != null) {
            // Whether it was committed shows in the log; if not, the leader asks for it again.
            raft.<String>replicate(operation).whenComplete((answer, failure) -> {});
        }
    }

    /** The log as far as this node has applied it. */
    PolicyLog log() {
        return log;
    }

    void close() {
        raft.terminate();
    }
}
